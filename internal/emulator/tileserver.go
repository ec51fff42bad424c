package emulator

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"image"
	"image/color"
	"image/png"
	"strconv"
	"strings"

	"bendtrestle/internal/http1"
	"bendtrestle/internal/ringbuffer"
	"bendtrestle/internal/tiles"
)

// tileServer is the server side of a tile server's HTTP. It supports all address schemes and conditional requests, and
// draws each tile from its address.
type tileServer struct {
	conn   *serverConn
	reader http1.RequestReader
	target string
	id     string
	wait   string
	etag   string // ETag of the copy that the sender has; empty: none
}

func (t *tileServer) read(in *ringbuffer.Buffer) (bool, error) { return t.reader.Read(in, t) }
func (t *tileServer) begun() bool                              { return t.reader.Begun() }
func (t *tileServer) busyReply() string {
	return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
}
func (t *tileServer) failedReply() string {
	return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
}

// Begin handles a request line.
func (t *tileServer) Begin(_, target string) { t.target, t.id, t.wait, t.etag = target, "", "", "" }

// Header handles a header.
func (t *tileServer) Header(name, value string) {
	switch name {
	case "x-request-id":
		t.id = value
	case "x-wait-ms":
		t.wait = value
	case "if-none-match":
		t.etag = value
	}
}

// Request handles the end of a request.
func (t *tileServer) Request(bool) {
	fleet := t.conn.server.fleet
	if t.target == "/" {
		fleet.records.Probes++
		t.conn.replyText("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n")
		return
	}
	request, parseError := fleet.tileService.Parse(t.target)
	if parseError != nil || request.Capabilities || fleet.tileType == nil {
		t.conn.replyText("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return
	}
	ms, _ := strconv.ParseFloat(t.wait, 64) // 0 if it is not stated
	t.conn.startExecution(fleet.tileType, request.Tile.Key(), t.id, "", ms/1e3, request.Tile, "")
	if len(t.conn.replies) > 0 {
		t.conn.replies[len(t.conn.replies)-1].etag = t.etag
	}
}

// encodeValue draws a tile. Its image depends on its address only. A note in the file names the server and the attempt
// for which it was made.
func (t *tileServer) encodeValue(reply *reply) ([][]byte, uint32) {
	tile := reply.protocolData.(tiles.Tile)
	server := t.conn.server
	etag := fmt.Sprintf("%q", fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(reply.key))))
	if reply.etag == etag {
		return [][]byte{[]byte("HTTP/1.1 304 Not Modified\r\nETag: " + etag + "\r\n\r\n")}, 0
	}
	note := fmt.Sprintf("server %s, for %s, number %d", server.Name, reply.execution.ID, server.fleet.nextSerial())
	body := annotate(server.fleet.tileImage(tile), note, reply.execution.Type.Size)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: image/png\r\nETag: %s\r\nCache-Control: max-age=60\r\nContent-Length: %d\r\n\r\n",
		etag, len(body))
	return [][]byte{[]byte(head), body}, crc32.ChecksumIEEE(body)
}

// corrupt returns a malformed form of an answer: no status line, two lengths, a length far too long, invalid chunks, or
// half of the answer.
func (t *tileServer) corrupt(text string) string {
	switch t.conn.server.rng.IntN(5) {
	case 0:
		return "\x00\xff~~ noise\r\n"
	case 1:
		return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi"
	case 2:
		return "HTTP/1.1 200 OK\r\nContent-Length: 200000000\r\n\r\n" + text
	case 3:
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
	}
	return text[:len(text)/2]
}

const maxTileImages = 4096 // cached tile images: enough for several map views, about 1 KB each

// tileImage draws a tile: its address as text on a background whose colour depends on column and row, so that a person
// can identify it.
func (f *Fleet) tileImage(t tiles.Tile) []byte {
	key := t.Key()
	if cached := f.tileImages[key]; cached != nil {
		return cached
	}
	if len(f.tileImages) >= maxTileImages {
		clear(f.tileImages)
	}
	side := 256
	if t.DoubleSize {
		side = 512
	}
	shade := uint8(200 + 40*((t.Col+t.Row)%2))
	img := image.NewPaletted(image.Rect(0, 0, side, side), color.Palette{color.RGBA{shade, shade,
		uint8(180 + 5*(t.Col%15)), 255},
		color.RGBA{40, 60, 90, 255}})
	for i := range side { // a frame
		img.SetColorIndex(i, 0, 1)
		img.SetColorIndex(0, i, 1)
	}
	for n, line := range []string{t.Layer, "Z" + t.Matrix, "X" + strconv.Itoa(t.Col), "Y" + strconv.Itoa(t.Row)} {
		drawText(img, 20, 30+n*50, strings.ToUpper(line), side/64)
	}
	var encoded bytes.Buffer
	(&png.Encoder{CompressionLevel: png.BestSpeed}).Encode(&encoded, img) // into memory
	f.tileImages[key] = encoded.Bytes()
	return encoded.Bytes()
}

// annotate inserts a note into a PNG before its last chunk. It pads the note with spaces so that the file has at least
// size bytes.
func annotate(file []byte, note string, size int) []byte {
	const end = 12 // bytes of the last chunk
	data := "Comment\x00" + note
	if more := size - len(file) - len(data) - 12; more > 0 {
		data += strings.Repeat(" ", more)
	}
	out := append(make([]byte, 0, len(file)+len(data)+12), file[:len(file)-end]...)
	out = binary.BigEndian.AppendUint32(out, uint32(len(data)))
	chunk := append([]byte("tEXt"), data...)
	out = binary.BigEndian.AppendUint32(append(out, chunk...), crc32.ChecksumIEEE(chunk))
	return append(out, file[len(file)-end:]...)
}

// Note returns the note that the emulator put into a PNG, or "".
func Note(file []byte) string {
	_, note, found := bytes.Cut(file, []byte("tEXtComment\x00"))
	if !found {
		return ""
	}
	note, _, _ = bytes.Cut(note[:max(0, len(note)-4)], []byte("IEND"))
	if len(note) > 8 {
		note = note[:len(note)-8]
	}
	return strings.TrimSpace(string(note))
}

// drawText draws letters of three columns and five rows. Each dot is a square with a side of dot pixels.
func drawText(img *image.Paletted, x, y int, text string, dot int) {
	for _, r := range text {
		bits := glyphs[r]
		for i := range 15 {
			if bits>>(14-i)&1 == 1 {
				for dx := range dot {
					for dy := range dot {
						img.SetColorIndex(x+i%3*dot+dx, y+i/3*dot+dy, 1)
					}
				}
			}
		}
		x += 4 * dot
	}
}

// glyphs are the letters' dots as 15 bits, row by row.
var glyphs = map[rune]uint16{
	'0': 0b111101101101111, '1': 0b010110010010111, '2': 0b111001111100111, '3': 0b111001111001111, '4': 0b101101111001001,
	'5': 0b111100111001111, '6': 0b111100111101111, '7': 0b111001010010010, '8': 0b111101111101111, '9': 0b111101111001111,
	'A': 0b010101111101101, 'B': 0b110101110101110, 'C': 0b011100100100011, 'D': 0b110101101101110, 'E': 0b111100110100111,
	'F': 0b111100110100100, 'G': 0b011100101101011, 'H': 0b101101111101101, 'I': 0b111010010010111, 'J': 0b001001001101010,
	'K': 0b101101110101101, 'L': 0b100100100100111, 'M': 0b101111111101101, 'N': 0b110101101101101, 'O': 0b010101101101010,
	'P': 0b110101110100100, 'Q': 0b010101101111011, 'R': 0b110101110101101, 'S': 0b011100010001110, 'T': 0b111010010010010,
	'U': 0b101101101101111, 'V': 0b101101101101010, 'W': 0b101101111111101, 'X': 0b101101010101101, 'Y': 0b101101010010010,
	'Z': 0b111001010100111, '-': 0b000000111000000,
}
