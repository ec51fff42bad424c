package tileclient

import (
	"bendtrestle/internal/policy/valuememory"
	"bendtrestle/internal/tiles"
	"bendtrestle/internal/upstream"
)

// Client is the state that the connections to the tile servers of one pool share. Its exported fields must be set
// before NewCodec is called.
type Client struct {
	Scheme       tiles.Scheme // how the paths of the servers identify a tile
	Host         string       // value of the Host header in requests
	ProbePath    string       // path that a ready server answers with 2xx
	MaxBodyBytes int          // a reply with a larger Content-Length fails before its body is read

	// Memory is the memory for incomplete bodies, which all pools of tile servers share.
	Memory *valuememory.Reservations
}

// NewCodec returns the codec of a connection.
func (c *Client) NewCodec(replies upstream.ReplyHandler) upstream.Codec {
	return &codec{client: c, replies: replies}
}

// ForwardedHeaders are the reply headers that are forwarded unchanged to clients: their canonical names by their names
// in lower case.
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
