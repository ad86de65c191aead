package v1

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"go.yaml.in/yaml/v3"
)

// Manifest is one resource of a manifest file.
type Manifest struct {
	File string
	// Line is the line at which the resource begins.
	Line int
	Key  Key
	Spec Spec
	// Version is the version that the stored resource must have for a write to succeed. It is 0
	// if the file gives none.
	Version uint64
}

// Object returns the object to write, with default values for unset fields.
func (m Manifest) Object() Object {
	// The spec types hold only plain fields, so encoding cannot fail.
	encoded, err := json.Marshal(m.Spec)
	if err != nil {
		panic(fmt.Sprintf("encode %s: %v", m.Key, err))
	}
	return Object{Kind: m.Key.Kind, Name: m.Key.Name, Version: m.Version, Spec: encoded}
}

// ManifestFault is a fault and its position in a manifest file.
type ManifestFault struct {
	File string
	// Line is 0 if the file is not valid YAML.
	Line int
	Fault
}

// String returns "file:line: field: message".
func (f ManifestFault) String() string {
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Fault)
}

// manifestDocument is the top level of a resource's YAML document.
type manifestDocument struct {
	APIVersion string    `yaml:"apiVersion"`
	Kind       Kind      `yaml:"kind"`
	Metadata   yaml.Node `yaml:"metadata"`
	Spec       yaml.Node `yaml:"spec"`
}

type manifestMetadata struct {
	Name    string `yaml:"name"`
	Version uint64 `yaml:"version"`
}

// ParseManifests parses all YAML documents of a file. It returns every manifest that could be
// read, also those with invalid fields, and all faults with their lines.
func ParseManifests(file string, content []byte) ([]Manifest, []ManifestFault) {
	var manifests []Manifest
	var faults []ManifestFault
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	for {
		var node yaml.Node
		err := decoder.Decode(&node)
		if errors.Is(err, io.EOF) {
			return manifests, faults
		}
		if err != nil {
			return manifests, append(faults, ManifestFault{file, 0, Fault{"document", err.Error()}})
		}
		manifest, documentFaults := parseDocument(file, &node)
		faults = append(faults, documentFaults...)
		if manifest != nil {
			manifests = append(manifests, *manifest)
		}
	}
}

// parseDocument returns a nil manifest if the document or its spec cannot be decoded.
func parseDocument(file string, node *yaml.Node) (*Manifest, []ManifestFault) {
	root := node
	if node.Kind == yaml.DocumentNode && len(node.Content) == 1 {
		root = node.Content[0]
	}
	faultAt := func(line int, field, format string, args ...any) []ManifestFault {
		return []ManifestFault{{file, line, Fault{field, fmt.Sprintf(format, args...)}}}
	}
	if root.Kind != yaml.MappingNode {
		return nil, faultAt(root.Line, "document", "must be a mapping")
	}
	if unknown, found := findUnknownField(root); found {
		return nil, faultAt(unknown.Line, unknown.Value, "unknown field")
	}
	var document manifestDocument
	if err := root.Decode(&document); err != nil {
		return nil, faultAt(root.Line, "document", "%v", err)
	}
	if document.APIVersion != APIVersion {
		return nil, faultAt(root.Line, "apiVersion", "must be %q, got %q", APIVersion, document.APIVersion)
	}
	if !slices.Contains(OperatorKinds, document.Kind) {
		return nil, faultAt(root.Line, "kind", "must be one of %v, got %q", OperatorKinds, document.Kind)
	}
	var metadata manifestMetadata
	if err := document.Metadata.Decode(&metadata); err != nil {
		return nil, faultAt(document.Metadata.Line, "metadata", "%v", err)
	}
	spec, err := decodeYAMLSpec(document.Kind, &document.Spec)
	if err != nil {
		return nil, faultAt(max(document.Spec.Line, root.Line), "spec", "%v", err)
	}
	manifest := &Manifest{File: file, Line: root.Line, Key: Key{document.Kind, metadata.Name}, Spec: spec, Version: metadata.Version}
	var faults []ManifestFault
	for _, fault := range append(ValidateName(metadata.Name), spec.Validate()...) {
		faults = append(faults, ManifestFault{file, root.Line, fault})
	}
	return manifest, faults
}

// findUnknownField returns the first top-level key that a manifest must not have.
func findUnknownField(root *yaml.Node) (*yaml.Node, bool) {
	knownFields := []string{"apiVersion", "kind", "metadata", "spec"}
	for i := 0; i < len(root.Content); i += 2 {
		if !slices.Contains(knownFields, root.Content[i].Value) {
			return root.Content[i], true
		}
	}
	return nil, false
}

// decodeYAMLSpec converts a spec to JSON and decodes that, so that manifest files and stored
// objects share their field names and the check for unknown fields.
func decodeYAMLSpec(kind Kind, node *yaml.Node) (Spec, error) {
	values := map[string]any{}
	if node.Kind != 0 {
		if err := node.Decode(&values); err != nil {
			return nil, err
		}
	}
	encoded, err := json.Marshal(values)
	if err != nil {
		return nil, err
	}
	return DecodeSpec(Object{Kind: kind, Spec: encoded})
}

// CheckReferences returns a fault for each resource that is defined twice, and for each
// reference to a resource that is neither in the manifests nor stored.
func CheckReferences(manifests []Manifest, stored func(Key) bool) []ManifestFault {
	defined := map[Key]bool{}
	var faults []ManifestFault
	for _, manifest := range manifests {
		if defined[manifest.Key] {
			faults = append(faults, ManifestFault{manifest.File, manifest.Line, Fault{"metadata.name", manifest.Key.String() + " is defined twice"}})
		}
		defined[manifest.Key] = true
	}
	for _, manifest := range manifests {
		for _, reference := range manifest.Spec.References() {
			if !defined[reference.Target] && !stored(reference.Target) {
				faults = append(faults, ManifestFault{manifest.File, manifest.Line, Fault{reference.Field, reference.Target.String() + " does not exist"}})
			}
		}
	}
	return faults
}
