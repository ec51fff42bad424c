package tileclient

import (
	"bendtrestle/internal/tiles"
	"bendtrestle/internal/upstream"
)

// Client is what the connections to one pool's tile servers share. Its fields are set before NewCodec is called.
type Client struct {
	Scheme           tiles.Scheme // how the servers' paths name a tile
	Host             string       // of the requests' Host header
	ProbePath        string       // answers with 2xx when a server is ready
	MaxBodyBytes     int          // a larger body is refused at its header
	MaxBufferedBytes int          // of bodies that are being received, over all connections
	bufferedBytes    int
}

// NewCodec makes the codec of a connection.
func (c *Client) NewCodec(replies upstream.ReplyHandler) upstream.Codec {
	return &codec{client: c, replies: replies}
}

// BufferedBytes is how many bytes of bodies are buffered because they are not complete.
func (c *Client) BufferedBytes() int { return c.bufferedBytes }

// ForwardedHeaders are the headers of a reply that clients get as they are: by their names in lower case, as they are
// written.
var ForwardedHeaders = map[string]string{
	"content-type":     "Content-Type",
	"content-encoding": "Content-Encoding",
	"etag":             "ETag",
	"last-modified":    "Last-Modified",
	"cache-control":    "Cache-Control",
	"expires":          "Expires",
	"date":             "Date",
	"age":              "Age",
}
