package upstreamapi

// EventStart and EventEnd enclose the data of an event of one line.
const (
	EventStart = "data: "
	EventEnd   = "\n\n"
)

// AppendEvent appends one event to buf.
func AppendEvent(buf, data []byte) []byte {
	buf = append(buf, EventStart...)
	buf = append(buf, data...)
	return append(buf, EventEnd...)
}
