// Package cli holds the operators' commands of clovertiller. Each command
// writes to the given output and returns an exit code; none ends the process.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"go.yaml.in/yaml/v3"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/platform"
)

// Exit codes of the commands.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitNotFound    = 6
)

// Output formats.
const (
	FormatTable = "table"
	FormatJSON  = "json"
	FormatYAML  = "yaml"
)

// Env is what a command works with.
type Env struct {
	Out    io.Writer
	Errors io.Writer
	// Platform is the address of the platform's object API.
	Platform string
	Format   string
}

func (e *Env) client() *platform.Client { return platform.NewClient(e.Platform) }

func (e *Env) complain(format string, args ...any) { fmt.Fprintf(e.Errors, format+"\n", args...) }

// failure reports an error of the platform and returns its exit code.
func (e *Env) failure(what string, err error) int {
	e.complain("%s: %v", what, err)
	switch {
	case errors.Is(err, platform.ErrConflict):
		return ExitConflict
	case errors.Is(err, platform.ErrNotFound):
		return ExitNotFound
	case errors.Is(err, platform.ErrUnavailable):
		return ExitUnavailable
	}
	return ExitFailure
}

// ParseKind finds a kind by its name in any case, also in the plural.
func ParseKind(name string) (v1.Kind, bool) {
	kinds := append([]v1.Kind{v1.KindMachine, v1.KindLease, v1.KindClaimAssignment}, v1.OperatorKinds...)
	for _, kind := range kinds {
		if strings.EqualFold(name, string(kind)) || strings.EqualFold(name, string(kind)+"s") {
			return kind, true
		}
	}
	return "", false
}

// Check reads manifest files and reports every fault, without the platform.
func Check(env *Env, paths []string) int {
	manifests, code := readManifests(env, paths)
	if code != ExitOK {
		return code
	}
	faults := v1.CheckReferences(manifests, func(v1.Key) bool { return false })
	if reportFaults(env, faults) {
		return ExitInvalid
	}
	fmt.Fprintf(env.Out, "%d resources are valid\n", len(manifests))
	return ExitOK
}

func readManifests(env *Env, paths []string) ([]v1.Manifest, int) {
	files, err := expand(paths)
	if err != nil {
		env.complain("%v", err)
		return nil, ExitUsage
	}
	var manifests []v1.Manifest
	var faults []v1.ManifestFault
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			env.complain("%v", err)
			return nil, ExitUsage
		}
		parsed, found := v1.ParseManifests(file, content)
		manifests = append(manifests, parsed...)
		faults = append(faults, found...)
	}
	if reportFaults(env, faults) {
		return nil, ExitInvalid
	}
	return manifests, ExitOK
}

// expand replaces directories by the YAML files in them.
func expand(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		found, err := filepath.Glob(filepath.Join(path, "*.yaml"))
		if err != nil {
			return nil, err
		}
		files = append(files, found...)
	}
	return files, nil
}

func reportFaults(env *Env, faults []v1.ManifestFault) bool {
	for _, fault := range faults {
		env.complain("%s", fault)
	}
	return len(faults) > 0
}

// Apply validates the manifests as a whole and writes those that differ from
// what is stored, referenced kinds first. A manifest without a version is
// written over the version read just before, so a racing write is a conflict.
func Apply(ctx context.Context, env *Env, paths []string) int {
	manifests, code := readManifests(env, paths)
	if code != ExitOK {
		return code
	}
	client := env.client()
	list, err := client.List(ctx)
	if err != nil {
		return env.failure("read the stored resources", err)
	}
	stored := map[v1.Key]v1.Object{}
	for _, object := range list.Items {
		stored[object.Key()] = object
	}
	faults := v1.CheckReferences(manifests, func(key v1.Key) bool { return stored[key].Version > 0 })
	if reportFaults(env, faults) {
		return ExitInvalid
	}
	sortForWriting(manifests)
	for _, manifest := range manifests {
		if code := applyOne(ctx, env, client, manifest, stored[manifest.Key]); code != ExitOK {
			return code
		}
	}
	return ExitOK
}

func sortForWriting(manifests []v1.Manifest) {
	rank := map[v1.Kind]int{}
	for i, kind := range v1.OperatorKinds {
		rank[kind] = i
	}
	sort.SliceStable(manifests, func(i, j int) bool { return rank[manifests[i].Key.Kind] < rank[manifests[j].Key.Kind] })
}

func applyOne(ctx context.Context, env *Env, client *platform.Client, manifest v1.Manifest, stored v1.Object) int {
	object := manifest.Object()
	if object.Version == 0 {
		object.Version = stored.Version
	}
	if stored.Version == object.Version && string(stored.Spec) == string(object.Spec) {
		fmt.Fprintf(env.Out, "%s unchanged at version %d\n", manifest.Key, stored.Version)
		return ExitOK
	}
	written, err := client.PutWithReadBack(ctx, object)
	if err != nil {
		return env.failure(manifest.Key.String(), err)
	}
	verb := "changed"
	if stored.Version == 0 {
		verb = "created"
	}
	fmt.Fprintf(env.Out, "%s %s at version %d\n", manifest.Key, verb, written.Version)
	return ExitOK
}

// Get prints the resources of a kind, or one of them.
func Get(ctx context.Context, env *Env, kind v1.Kind, name string) int {
	objects, err := fetch(ctx, env, kind, name)
	if err != nil {
		return env.failure("get", err)
	}
	return printObjects(env, objects)
}

func fetch(ctx context.Context, env *Env, kind v1.Kind, name string) ([]v1.Object, error) {
	if name != "" {
		object, err := env.client().Get(ctx, v1.Key{Kind: kind, Name: name})
		if err != nil {
			return nil, err
		}
		return []v1.Object{*object}, nil
	}
	list, err := env.client().List(ctx)
	if err != nil {
		return nil, err
	}
	var objects []v1.Object
	for _, object := range list.Items {
		if object.Kind == kind {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	return objects, nil
}

// manifestForm is how a stored object is shown: as the manifest that would make it.
type manifestForm struct {
	APIVersion string         `json:"apiVersion" yaml:"apiVersion"`
	Kind       v1.Kind        `json:"kind" yaml:"kind"`
	Metadata   manifestMeta   `json:"metadata" yaml:"metadata"`
	Spec       map[string]any `json:"spec" yaml:"spec"`
	Status     *v1.Status     `json:"status,omitempty" yaml:"status,omitempty"`
}

type manifestMeta struct {
	Name    string `json:"name" yaml:"name"`
	Version uint64 `json:"version" yaml:"version"`
}

func formOf(object v1.Object) manifestForm {
	form := manifestForm{APIVersion: v1.APIVersion, Kind: object.Kind, Metadata: manifestMeta{object.Name, object.Version}, Status: object.Status}
	if err := json.Unmarshal(object.Spec, &form.Spec); err != nil {
		form.Spec = map[string]any{"unreadable": string(object.Spec)}
	}
	return form
}

func printObjects(env *Env, objects []v1.Object) int {
	forms := make([]manifestForm, len(objects))
	for i, object := range objects {
		forms[i] = formOf(object)
	}
	switch env.Format {
	case FormatJSON:
		encoder := json.NewEncoder(env.Out)
		encoder.SetIndent("", "  ")
		encoder.Encode(forms)
	case FormatYAML:
		encoder := yaml.NewEncoder(env.Out)
		for _, form := range forms {
			encoder.Encode(form)
		}
		encoder.Close()
	case FormatTable, "":
		table := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
		fmt.Fprintln(table, "KIND\tNAME\tVERSION\tACCEPTED\tIN FORCE")
		for _, object := range objects {
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\n", object.Kind, object.Name, object.Version, conditionOf(object, v1.ConditionAccepted), conditionOf(object, v1.ConditionInForce))
		}
		table.Flush()
	default:
		env.complain("unknown format %q: must be table, json or yaml", env.Format)
		return ExitUsage
	}
	return ExitOK
}

func conditionOf(object v1.Object, name string) v1.ConditionState {
	if object.Status == nil || object.Status.ObservedVersion != object.Version {
		return v1.ConditionUnknown
	}
	for _, condition := range object.Status.Conditions {
		if condition.Type == name {
			return condition.State
		}
	}
	return v1.ConditionUnknown
}

// Describe prints one resource with its conditions.
func Describe(ctx context.Context, env *Env, kind v1.Kind, name string) int {
	objects, err := fetch(ctx, env, kind, name)
	if err != nil {
		return env.failure("describe", err)
	}
	for _, object := range objects {
		encoded, _ := yaml.Marshal(formOf(object).Spec)
		fmt.Fprintf(env.Out, "%s at version %d\n%s", object.Key(), object.Version, encoded)
		if object.Status == nil {
			fmt.Fprintln(env.Out, "no status yet")
			continue
		}
		fmt.Fprintf(env.Out, "status of version %d:\n", object.Status.ObservedVersion)
		for _, condition := range object.Status.Conditions {
			fmt.Fprintf(env.Out, "  %s=%s %s %s\n", condition.Type, condition.State, condition.Reason, condition.Message)
		}
	}
	return ExitOK
}

// Delete removes a resource at the given version, or at the one read just before.
func Delete(ctx context.Context, env *Env, kind v1.Kind, name, version string) int {
	client := env.client()
	key := v1.Key{Kind: kind, Name: name}
	number, err := strconv.ParseUint(version, 10, 64)
	if version != "" && err != nil {
		env.complain("version: must be a number, got %q", version)
		return ExitUsage
	}
	if version == "" {
		object, err := client.Get(ctx, key)
		if err != nil {
			return env.failure(key.String(), err)
		}
		number = object.Version
	}
	err = client.Delete(ctx, key, number)
	if errors.Is(err, platform.ErrUnavailable) {
		// The answer may have been lost after the deletion took effect.
		if _, readError := client.Get(ctx, key); errors.Is(readError, platform.ErrNotFound) {
			err = nil
		}
	}
	if err != nil {
		return env.failure(key.String(), err)
	}
	fmt.Fprintf(env.Out, "%s deleted\n", key)
	return ExitOK
}

// Watch prints changes of a kind ("" for all) until the context ends.
func Watch(ctx context.Context, env *Env, kind v1.Kind) int {
	client := env.client()
	list, err := client.List(ctx)
	if err != nil {
		return env.failure("watch", err)
	}
	revision := list.Revision
	for ctx.Err() == nil {
		err = client.Watch(ctx, revision, func(batch platform.WatchBatch) {
			revision = max(revision, batch.Revision)
			for _, object := range batch.Objects {
				printChange(env, kind, object)
			}
		})
		if errors.Is(err, platform.ErrGone) {
			return env.failure("watch", err)
		}
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
	return ExitOK
}

func printChange(env *Env, kind v1.Kind, object v1.Object) {
	if kind != "" && object.Kind != kind {
		return
	}
	verb := "put"
	if object.Deleted {
		verb = "deleted"
	}
	fmt.Fprintf(env.Out, "%d %s %s %s\n", object.Version, verb, object.Key(), object.Spec)
}
