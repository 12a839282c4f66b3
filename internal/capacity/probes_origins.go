package capacity

import (
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/resumption"
)

// originSizes are numbers of streams that begin in a second at all entries, up to the target's
// requests.
var originSizes = []int{1000, 9200, TargetRequestsPerSec}

// OriginProbes returns the probes of the cost of records of what began streams, beside several
// software versions. With one version there are none.
func OriginProbes() []Probe {
	probe := func(role, name string, unit Unit, measure func(int) (float64, error)) Probe {
		return Probe{
			Role: role, Name: name, SizeName: "streams a second", Unit: unit,
			Sizes: originSizes, Target: TargetRequestsPerSec, Measure: measure,
		}
	}
	return []Probe{
		probe("entry", "records of streams to control hosts, in a second", UnitBytes, func(n int) (float64, error) {
			streams := max(n/TargetDaemons, 1)
			request := steward.OriginRequest{Records: originsOf(1)}
			return float64(streams * resumption.Copies * len(wire.MustMarshal(&request))), nil
		}),
		probe("voter", "records of streams, in memory", UnitBytes, func(n int) (float64, error) {
			held := n * resumption.Copies / TargetControlHosts
			return HeapBytes(func() any {
				records := resumption.NewRecords()
				for s := range 60 {
					for i, record := range originsOf(held) {
						record.Key = resumption.NewKey("growers", fmt.Sprint(s, "-", i))
						records.Put(record, probeStart.Add(time.Duration(s)*time.Second))
					}
				}
				return records
			}), nil
		}),
	}
}

// originsOf returns records of n streams.
func originsOf(n int) []resumption.Record {
	records := make([]resumption.Record, n)
	for i := range records {
		records[i] = resumption.Record{
			Key: resumption.NewKey("growers", fmt.Sprint(i)), Origin: resumption.Origin{Service: "appraiser-llm", Software: "v1.12.3"}, Send: 1,
		}
	}
	return records
}
