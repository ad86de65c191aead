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

// Manifest is one resource as written in a file.
type Manifest struct {
	File string
	Line int
	Key  Key
	Spec Spec
	// Version is the version precondition; 0 means none was written.
	Version uint64
}

// Object returns the manifest as an object with its defaults written out.
func (m Manifest) Object() Object {
	// The spec types hold only plain fields, so encoding cannot fail.
	encoded, err := json.Marshal(m.Spec)
	if err != nil {
		panic(fmt.Sprintf("encode %s: %v", m.Key, err))
	}
	return Object{Kind: m.Key.Kind, Name: m.Key.Name, Version: m.Version, Spec: encoded}
}

// ManifestFault is a fault with its place in a file.
type ManifestFault struct {
	File string
	Line int
	Fault
}

// String returns "file:line: field: message".
func (f ManifestFault) String() string {
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Fault)
}

// manifestDocument is the YAML frame of a resource.
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

// ParseManifests reads all YAML documents of a file. All faults are returned
// together, each with its line; the manifests that could be read are returned too.
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

func parseDocument(file string, node *yaml.Node) (*Manifest, []ManifestFault) {
	root := node
	if node.Kind == yaml.DocumentNode && len(node.Content) == 1 {
		root = node.Content[0]
	}
	at := func(line int, field, format string, args ...any) []ManifestFault {
		return []ManifestFault{{file, line, Fault{field, fmt.Sprintf(format, args...)}}}
	}
	if root.Kind != yaml.MappingNode {
		return nil, at(root.Line, "document", "must be a mapping")
	}
	if fault, found := unknownTopField(root); found {
		return nil, at(fault.Line, fault.Value, "unknown field")
	}
	var document manifestDocument
	if err := root.Decode(&document); err != nil {
		return nil, at(root.Line, "document", "%v", err)
	}
	if document.APIVersion != APIVersion {
		return nil, at(root.Line, "apiVersion", "must be %q, got %q", APIVersion, document.APIVersion)
	}
	if !slices.Contains(OperatorKinds, document.Kind) {
		return nil, at(root.Line, "kind", "must be one of %v, got %q", OperatorKinds, document.Kind)
	}
	var metadata manifestMetadata
	if err := document.Metadata.Decode(&metadata); err != nil {
		return nil, at(document.Metadata.Line, "metadata", "%v", err)
	}
	spec, err := decodeYAMLSpec(document.Kind, &document.Spec)
	if err != nil {
		return nil, at(max(document.Spec.Line, root.Line), "spec", "%v", err)
	}
	manifest := &Manifest{File: file, Line: root.Line, Key: Key{document.Kind, metadata.Name}, Spec: spec, Version: metadata.Version}
	var faults []ManifestFault
	for _, fault := range append(ValidateName(metadata.Name), spec.Validate()...) {
		faults = append(faults, ManifestFault{file, root.Line, fault})
	}
	return manifest, faults
}

func unknownTopField(root *yaml.Node) (*yaml.Node, bool) {
	known := []string{"apiVersion", "kind", "metadata", "spec"}
	for i := 0; i < len(root.Content); i += 2 {
		if !slices.Contains(known, root.Content[i].Value) {
			return root.Content[i], true
		}
	}
	return nil, false
}

// decodeYAMLSpec goes through JSON so that file and stored form have one set
// of field names and one check for unknown fields.
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

// CheckReferences returns the faults of references that neither the manifests
// nor the already stored keys satisfy.
func CheckReferences(manifests []Manifest, stored func(Key) bool) []ManifestFault {
	present := map[Key]bool{}
	var faults []ManifestFault
	for _, manifest := range manifests {
		if present[manifest.Key] {
			faults = append(faults, ManifestFault{manifest.File, manifest.Line, Fault{"metadata.name", manifest.Key.String() + " is defined twice"}})
		}
		present[manifest.Key] = true
	}
	for _, manifest := range manifests {
		for _, reference := range manifest.Spec.References() {
			if !present[reference.To] && !stored(reference.To) {
				faults = append(faults, ManifestFault{manifest.File, manifest.Line, Fault{reference.Field, reference.To.String() + " does not exist"}})
			}
		}
	}
	return faults
}
