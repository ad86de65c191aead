package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// http10Transport is a transport that sends requests in HTTP/1.0, each on its own connection.
type http10Transport struct{}

// RoundTrip implements http.RoundTripper.
func (http10Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	conn, err := (&net.Dialer{}).DialContext(request.Context(), "tcp", request.URL.Host)
	if err != nil {
		return nil, err
	}
	if deadline, limited := request.Context().Deadline(); limited {
		if err := conn.SetDeadline(deadline); err != nil {
			conn.Close()
			return nil, err
		}
	}
	response, err := exchangeHTTP10(conn, request)
	if err != nil {
		conn.Close()
		return nil, err
	}
	response.Body = &connBody{response.Body, conn}
	return response, nil
}

// exchangeHTTP10 writes the request and reads the head of the response.
func exchangeHTTP10(conn net.Conn, request *http.Request) (*http.Response, error) {
	writer := bufio.NewWriter(conn)
	fmt.Fprintf(writer, "%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n", request.Method, request.URL.RequestURI(), request.Host, request.ContentLength)
	if err := request.Header.Write(writer); err != nil {
		return nil, err
	}
	fmt.Fprint(writer, "\r\n")
	if request.Body != nil {
		if _, err := io.Copy(writer, request.Body); err != nil {
			return nil, err
		}
	}
	if err := writer.Flush(); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), request)
}

// connBody closes the connection together with the body.
type connBody struct {
	io.ReadCloser
	conn net.Conn
}

// Close implements io.Closer.
func (b *connBody) Close() error {
	b.ReadCloser.Close()
	return b.conn.Close()
}
