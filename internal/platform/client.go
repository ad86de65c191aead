// Package platform is the client of the platform's object API: versioned
// objects, writes with version preconditions, and watches. docs/API.md
// describes the protocol.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/clovertiller/clovertiller/api/v1"
)

// Paths of the object API.
const (
	PathObjects = "/api/v1/objects"
	PathStatus  = "/api/v1/status"
	PathWatch   = "/api/v1/watch"
)

// Errors of the client.
var (
	// ErrConflict means that the object's version is not the one the write named.
	ErrConflict = errors.New("the object has another version")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("no such object")
	// ErrGone means that changes after the asked revision are no longer kept.
	ErrGone = errors.New("the revision is too old to watch from")
	// ErrUnavailable means that the platform did not answer; a write may or may
	// not have taken effect.
	ErrUnavailable = errors.New("the platform did not answer")
)

// Times of the client.
const (
	requestTimeout = 3 * time.Second
	// WatchSilence is how long a watch may be silent; the platform sends a
	// bookmark every second.
	WatchSilence  = 5 * time.Second
	maxReplyBytes = 64 << 20
)

// List is the answer to a list call.
type List struct {
	Revision uint64      `json:"revision"`
	Items    []v1.Object `json:"items"`
}

// WatchBatch is one message of a watch: every change up to Revision that was
// not sent before. Without objects it is a bookmark.
type WatchBatch struct {
	Revision uint64      `json:"revision"`
	Objects  []v1.Object `json:"objects,omitempty"`
}

// Client talks to the platform at one base address.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the object API at address (IP:port).
func NewClient(address string) *Client {
	return &Client{base: "http://" + address, http: &http.Client{}}
}

// List reads all objects.
func (c *Client) List(ctx context.Context) (*List, error) {
	list := &List{}
	if err := c.do(ctx, http.MethodGet, PathObjects, nil, list); err != nil {
		return nil, err
	}
	return list, nil
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, key v1.Key) (*v1.Object, error) {
	object := &v1.Object{}
	if err := c.do(ctx, http.MethodGet, objectPath(PathObjects, key), nil, object); err != nil {
		return nil, err
	}
	return object, nil
}

// Put writes an object at the version it carries (0 creates it) and returns it
// with its new version. On ErrUnavailable the outcome is not known.
func (c *Client) Put(ctx context.Context, object v1.Object) (*v1.Object, error) {
	stored := &v1.Object{}
	if err := c.do(ctx, http.MethodPut, objectPath(PathObjects, object.Key()), object, stored); err != nil {
		return nil, err
	}
	return stored, nil
}

// PutResolved writes an object like Put. When the answer is lost it reads the
// object back instead of writing again: it returns the stored object if it has
// the wanted content at a newer version, ErrConflict if another write is in
// its place, and ErrUnavailable if the write did not take effect or reading
// back failed too; in that case it is safe to write again at the same version.
func (c *Client) PutResolved(ctx context.Context, object v1.Object) (*v1.Object, error) {
	stored, err := c.Put(ctx, object)
	if !errors.Is(err, ErrUnavailable) {
		return stored, err
	}
	current, readError := c.Get(ctx, object.Key())
	switch {
	case errors.Is(readError, ErrNotFound) && object.Version > 0:
		return nil, ErrConflict
	case readError != nil:
		return nil, ErrUnavailable
	case current.Version == object.Version:
		return nil, ErrUnavailable
	case sameSpec(current.Spec, object.Spec):
		return current, nil
	}
	return nil, ErrConflict
}

func sameSpec(a, b json.RawMessage) bool {
	var compactA, compactB bytes.Buffer
	if json.Compact(&compactA, a) != nil || json.Compact(&compactB, b) != nil {
		return false
	}
	return bytes.Equal(compactA.Bytes(), compactB.Bytes())
}

// Delete removes an object at the given version.
func (c *Client) Delete(ctx context.Context, key v1.Key, version uint64) error {
	path := objectPath(PathObjects, key) + "?version=" + strconv.FormatUint(version, 10)
	return c.do(ctx, http.MethodDelete, path, nil, nil)
}

// PutStatus writes an object's status. It does not change the object's version.
func (c *Client) PutStatus(ctx context.Context, key v1.Key, status v1.Status) error {
	return c.do(ctx, http.MethodPut, objectPath(PathStatus, key), status, nil)
}

// Watch calls visit for each batch of changes after the revision, until the
// context or the connection ends. It returns ErrGone when a list is needed.
func (c *Client) Watch(ctx context.Context, from uint64, visit func(WatchBatch)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(WatchSilence, cancel)
	defer watchdog.Stop()
	path := PathWatch + "?from=" + strconv.FormatUint(from, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return ErrUnavailable
	}
	defer response.Body.Close()
	if err := statusError(response); err != nil {
		return err
	}
	decoder := json.NewDecoder(response.Body)
	for {
		var batch WatchBatch
		if err := decoder.Decode(&batch); err != nil {
			return ErrUnavailable
		}
		watchdog.Reset(WatchSilence)
		visit(batch)
	}
}

func objectPath(prefix string, key v1.Key) string {
	return prefix + "/" + url.PathEscape(string(key.Kind)) + "/" + url.PathEscape(key.Name)
}

func (c *Client) do(ctx context.Context, method, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return trace.Wrap(err)
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return ErrUnavailable
	}
	defer response.Body.Close()
	if err := statusError(response); err != nil {
		return err
	}
	if reply == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply); err != nil {
		return ErrUnavailable
	}
	return nil
}

func statusError(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated:
		return nil
	case http.StatusConflict:
		return ErrConflict
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusGone:
		return ErrGone
	case http.StatusBadRequest:
		message, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return trace.BadParameter("platform: %s", message)
	}
	return fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
}
