package announce

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagereach/lovagereach/internal/httpbound"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/upstream"
)

// fakeSink records the messages it receives and returns err.
type fakeSink struct {
	announced []port.Announcement
	loads     []port.LoadReport
	events    []port.CacheEvents
	err       error
}

func (f *fakeSink) Announce(message port.Announcement) (Assignment, error) {
	f.announced = append(f.announced, message)
	return Assignment{Entries: []string{"127.0.0.1:7102"}, ReportIntervals: upstream.ReportIntervalsFor(100)}, f.err
}

func (f *fakeSink) Load(message port.LoadReport) error {
	f.loads = append(f.loads, message)
	return f.err
}

func (f *fakeSink) Events(message port.CacheEvents) (bool, error) {
	f.events = append(f.events, message)
	return true, f.err
}

func post(sink Sink, path, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	NewHandler(sink, metrics.NewSet()).ServeHTTP(recorder, request)
	return recorder
}

const engine = `{"upstream":"runner-1","incarnation":7,"kind":"engine","address":"127.0.0.1:9000","data_centre":"hall-north",
"models":[{"model":"m","version":"v1","adapters":["a"]}],"lease_ms":3000,"slots":4,"block_bytes":1024,"new_field":true}`

func TestValidMessagesReachSink(t *testing.T) {
	sink := &fakeSink{}
	got := post(sink, PathAnnouncement, engine)
	var reply Reply
	if err := json.Unmarshal(got.Body.Bytes(), &reply); err != nil || got.Code != http.StatusOK {
		t.Fatalf("got %d %s, %v", got.Code, got.Body, err)
	}
	if reply.ReportEveryMillis <= 0 || reply.EventsEveryMillis <= 0 {
		t.Errorf("the intervals for 100 upstreams are missing from %+v", reply)
	}
	if len(reply.Entries) != 1 || reply.LeaseMillis != 3000 || sink.announced[0].Models[0].Adapters[0] != "a" {
		t.Errorf("got %+v from %+v", reply, sink.announced)
	}
	if got := post(sink, PathLoad, `{"upstream":"runner-1","running":3,"link_busy":0.5}`); got.Code != http.StatusNoContent {
		t.Errorf("load: %d %s", got.Code, got.Body)
	}
	if got := post(sink, PathEvents, `{"upstream":"runner-1","events":[{"sequence":1,"kind":"stored","block":"00"}]}`); got.Body.String() != "{\"snapshot\":true}\n" {
		t.Errorf("events: %d %s", got.Code, got.Body)
	}
}

// Upstreams send invalid messages. They must not reach the sink, and the answer must name
// the invalid field.
func TestInvalidMessagesAreRefused(t *testing.T) {
	change := func(old, new string) string { return strings.Replace(engine, old, new, 1) }
	cases := map[string]struct {
		path, body string
		status     int
		field      string
	}{
		"not JSON":          {PathAnnouncement, "\x00", 400, ""},
		"deep":              {PathLoad, strings.Repeat("[", 99), 400, ""},
		"large":             {PathEvents, strings.Repeat(" ", MaxBody+1), 413, ""},
		"no name":           {PathAnnouncement, change("runner-1", ""), 422, "upstream"},
		"long name":         {PathAnnouncement, change("runner-1", strings.Repeat("x", 200)), 422, "upstream"},
		"no data centre":    {PathAnnouncement, change("hall-north", ""), 422, "data_centre"},
		"name for address":  {PathAnnouncement, change("127.0.0.1:9000", "example.com:80"), 422, "address"},
		"no port":           {PathAnnouncement, change("127.0.0.1:9000", "127.0.0.1:0"), 422, "address"},
		"unknown kind":      {PathAnnouncement, change(`"engine"`, `"tpu"`), 422, "kind"},
		"no lease":          {PathAnnouncement, change("3000", "0"), 422, "lease_ms"},
		"endless lease":     {PathAnnouncement, change("3000", "9223372036854775807"), 422, "lease_ms"},
		"negative slots":    {PathAnnouncement, change(`"slots":4`, `"slots":-4`), 422, "slots"},
		"nameless model":    {PathAnnouncement, change(`"model":"m"`, `"model":""`), 422, "models.model"},
		"nameless version":  {PathAnnouncement, change(`"v1"`, `""`), 422, "models.version"},
		"many models":       {PathAnnouncement, change(`"models":[`, `"models":[`+strings.Repeat(`{"model":"m","version":"v"},`, MaxModels)), 422, "models"},
		"service unnamed":   {PathAnnouncement, change(`"engine"`, `"service"`), 422, "service"},
		"negative running":  {PathLoad, `{"upstream":"r","running":-1}`, 422, "running"},
		"link out of range": {PathLoad, `{"upstream":"r","link_busy":1.5}`, 422, "link_busy"},
		"many events":       {PathEvents, `{"upstream":"r","events":[` + strings.Repeat(`{},`, MaxEvents) + `{}]}`, 422, "events"},
		"long block":        {PathEvents, `{"upstream":"r","events":[{"block":"` + strings.Repeat("0", 200) + `"}]}`, 422, "events.block"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			sink := &fakeSink{}
			got := post(sink, test.path, test.body)
			var body errorBody
			if err := json.Unmarshal(got.Body.Bytes(), &body); err != nil {
				t.Fatalf("%v in %q", err, got.Body)
			}
			if got.Code != test.status || body.Field != test.field || body.Error == "" {
				t.Errorf("got %d %+v", got.Code, body)
			}
			if len(sink.announced)+len(sink.loads)+len(sink.events) != 0 {
				t.Error("the message reached the sink")
			}
		})
	}
}

func TestSinkErrorIsReturnedToSender(t *testing.T) {
	got := post(&fakeSink{err: errors.New("an earlier incarnation")}, PathAnnouncement, engine)
	if got.Code != http.StatusBadRequest || !strings.Contains(got.Body.String(), "an earlier incarnation") {
		t.Errorf("got %d %s", got.Code, got.Body)
	}
}

func FuzzMessages(f *testing.F) {
	f.Add([]byte(engine))
	f.Add([]byte(`{"upstream":"r","events":[{"kind":"stored","state":{"phase":"committed"}}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var announcement port.Announcement
		if httpbound.DecodeJSON(body, &announcement, true) == nil && checkAnnouncement(announcement) == nil {
			if announcement.Upstream == "" || announcement.LeaseMillis <= 0 || announcement.Slots < 0 {
				t.Fatalf("accepted %+v", announcement)
			}
		}
		var events port.CacheEvents
		if httpbound.DecodeJSON(body, &events, true) == nil && checkEvents(events) == nil && len(events.Events) > MaxEvents {
			t.Fatalf("accepted %d events", len(events.Events))
		}
	})
}
