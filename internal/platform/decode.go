package platform

import (
	"encoding/json"

	"github.com/gravitational/trace"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/jsonsplit"
)

// decodeList decodes the response to a list. Each object is decoded by itself, so that one that cannot be decoded does not
// make the others unusable.
func decodeList(body []byte, list *List) error {
	revision, objects, err := decodeObjects(body, "items")
	list.Revision, list.Items = revision, objects
	return err
}

// decodeBatch decodes a message of a watch in the same way.
func decodeBatch(message []byte) (WatchBatch, error) {
	revision, objects, err := decodeObjects(message, "objects")
	return WatchBatch{Revision: revision, Objects: objects}, err
}

// decodeObjects decodes the revision and the array with the key.
func decodeObjects(body []byte, key string) (revision uint64, objects []v1.Object, err error) {
	members, err := jsonsplit.Members(body)
	if err != nil {
		return 0, nil, err
	}
	if err := json.Unmarshal(jsonsplit.Find(members, "revision"), &revision); err != nil {
		return 0, nil, trace.BadParameter("revision: %v", err)
	}
	elements, err := jsonsplit.FindElements(members, key)
	if err != nil {
		return 0, nil, err
	}
	for _, element := range elements {
		objects = append(objects, decodeObject(element))
	}
	return revision, objects, nil
}

// decodeObject decodes an object. One that cannot be decoded has a fault, no spec, and what can be told of the other fields.
func decodeObject(text []byte) v1.Object {
	var object v1.Object
	err := json.Unmarshal(text, &object)
	if err == nil {
		return object
	}
	object = v1.Object{}
	if members, splitErr := jsonsplit.Members(text); splitErr == nil {
		for key, field := range map[string]any{"kind": &object.Kind, "name": &object.Name, "version": &object.Version, "deleted": &object.Deleted} {
			// Errors are part of the fault.
			_ = json.Unmarshal(jsonsplit.Find(members, key), field)
		}
	}
	object.Fault = jsonsplit.Reason(err)
	return object
}
