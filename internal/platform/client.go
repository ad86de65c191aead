// Package platform implements a client of the platform's object API: versioned objects, writes with
// version preconditions, and watches. The protocol is described in docs/API.md.
package platform

import (
	"bufio"
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
	"github.com/clovertiller/clovertiller/internal/integrity"
)

// URL paths of the object API.
const (
	PathObjects = "/api/v1/objects"
	PathStatus  = "/api/v1/status"
	PathWatch   = "/api/v1/watch"
)

// Errors returned by the client.
var (
	// ErrConflict means that the object's version is not the one that the write requires.
	ErrConflict = errors.New("the object has another version")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("no such object")
	// ErrGone means that the platform no longer has all changes after the requested revision.
	ErrGone = errors.New("the revision is too old to watch from")
	// ErrUnavailable means that the platform did not respond or responded with an unexpected status
	// or a malformed body. A write may or may not have taken effect.
	ErrUnavailable = errors.New("the platform did not answer")
)

const (
	// requestTimeout is the timeout of all requests other than watches.
	requestTimeout = 3 * time.Second
	// WatchIdleTimeout is the time without a message after which a watch ends. The platform sends a
	// bookmark every second.
	WatchIdleTimeout = 5 * time.Second
	// maxResponseBytes is the maximum size of a response body and of each message of a watch.
	maxResponseBytes = 16 << 20
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 128 << 10
)

// List is the response to a list request: all objects at a revision.
type List struct {
	Revision uint64      `json:"revision"`
	Items    []v1.Object `json:"items"`
}

// WatchBatch is one message of a watch. It holds every change up to Revision that the watch has not
// sent yet. A batch without objects is a bookmark.
type WatchBatch struct {
	Revision uint64      `json:"revision"`
	Objects  []v1.Object `json:"objects,omitempty"`
}

// Client is a client of the platform at one address. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client of the object API at the address, in the form IP:port.
func NewClient(address string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxHeadBytes
	return &Client{baseURL: "http://" + address, httpClient: &http.Client{Transport: transport}}
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

// Put writes an object if its version on the platform equals object.Version, where 0 means that it
// does not exist yet. It returns the object with its new version. If Put returns ErrUnavailable, the
// write may or may not have taken effect.
func (c *Client) Put(ctx context.Context, object v1.Object) (*v1.Object, error) {
	stored := &v1.Object{}
	if err := c.do(ctx, http.MethodPut, objectPath(PathObjects, object.Key()), object, stored); err != nil {
		return nil, err
	}
	return stored, nil
}

// PutWithReadBack writes an object like Put. If the response is lost, it reads the object instead of
// writing it again. It then returns
//   - the stored object, if it has the written spec at a newer version,
//   - ErrConflict, if another write took effect instead,
//   - ErrUnavailable, if the write did not take effect or the read failed too. It is then safe to
//     write again at the same version.
func (c *Client) PutWithReadBack(ctx context.Context, object v1.Object) (*v1.Object, error) {
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

// sameSpec reports whether two JSON values are equal apart from white space.
func sameSpec(a, b json.RawMessage) bool {
	var compactA, compactB bytes.Buffer
	if json.Compact(&compactA, a) != nil || json.Compact(&compactB, b) != nil {
		return false
	}
	return bytes.Equal(compactA.Bytes(), compactB.Bytes())
}

// Delete deletes an object if its version on the platform equals version.
func (c *Client) Delete(ctx context.Context, key v1.Key, version uint64) error {
	path := objectPath(PathObjects, key) + "?version=" + strconv.FormatUint(version, 10)
	return c.do(ctx, http.MethodDelete, path, nil, nil)
}

// PutStatus writes the status of an object. It does not change the object's version.
func (c *Client) PutStatus(ctx context.Context, key v1.Key, status v1.Status) error {
	return c.do(ctx, http.MethodPut, objectPath(PathStatus, key), status, nil)
}

// Watch calls handle for each batch of changes after fromRevision until ctx or the connection ends.
// It always returns an error. ErrGone means that the caller must read the full state by List first.
func (c *Client) Watch(ctx context.Context, fromRevision uint64, handle func(WatchBatch)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(WatchIdleTimeout, cancel)
	defer idleTimer.Stop()
	path := PathWatch + "?from=" + strconv.FormatUint(fromRevision, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return ErrUnavailable
	}
	defer response.Body.Close()
	if err := errorFromStatus(response); err != nil {
		return err
	}
	body := integrity.NewLimitedReader(response.Body, maxResponseBytes)
	lines := bufio.NewReader(body)
	for {
		body.Reset()
		message, err := lines.ReadBytes('\n')
		if err != nil {
			return ErrUnavailable
		}
		batch, err := decodeBatch(message)
		if err != nil {
			return ErrUnavailable
		}
		idleTimer.Reset(WatchIdleTimeout)
		handle(batch)
	}
}

func objectPath(prefix string, key v1.Key) string {
	return prefix + "/" + url.PathEscape(string(key.Kind)) + "/" + url.PathEscape(key.Name)
}

// do sends a request with the JSON encoding of body, if not nil, and decodes the response into result,
// if not nil.
func (c *Client) do(ctx context.Context, method, path string, body, result any) error {
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
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return ErrUnavailable
	}
	defer response.Body.Close()
	if err := errorFromStatus(response); err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	data, err := io.ReadAll(integrity.NewLimitedReader(response.Body, maxResponseBytes))
	if err != nil || decodeResponse(data, result) != nil {
		return ErrUnavailable
	}
	return nil
}

func decodeResponse(data []byte, result any) error {
	if list, isList := result.(*List); isList {
		return decodeList(data, list)
	}
	return json.Unmarshal(data, result)
}

// errorFromStatus returns the error that corresponds to the status of a response, or nil on success.
func errorFromStatus(response *http.Response) error {
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
