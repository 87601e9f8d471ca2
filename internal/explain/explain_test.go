package explain_test

import (
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/explain"
)

const (
	logOfHostA = `time=2026-07-03T01:42:10.100Z level=info message="configuration in force" event=belief host=a source=store version=3
time=2026-07-03T01:42:11.000Z level=info message=step host=a request=q1 kind=reply shard=2 reason=endpoint-shed code=331
time=2026-07-03T01:42:11.010Z level=info message=answered host=a request=q1 code=200 reason=partial
time=2026-07-03T01:42:12.000Z level=info message="store lost" event=belief host=a
time=2026-07-03T01:42:12.100Z level=info message=answered host=a request=q2 code=100`
	logOfHostsBAndC = `time=2026-07-03T01:42:10.900Z level=info message=answered host=b request=q1 code=309
time=2026-07-03T01:42:10.000Z level=info message="replicas changed" event=belief host=b replicas=7
time=2026-07-03T01:42:10.000Z level=info message="replicas changed" event=belief host=c replicas=9`
)

func hostMessages(timeline *explain.Timeline) string {
	var out []string
	for _, l := range timeline.Lines {
		out = append(out, l.Host+":"+l.Message)
	}
	return strings.Join(out, " ")
}

// The timeline must have the request's lines of every host and the state changes of
// these hosts before them, in order of time.
func TestTimelineOfOneRequest(t *testing.T) {
	g := NewWithT(t)
	timeline, err := explain.Read("q1", strings.NewReader(logOfHostA), strings.NewReader(logOfHostsBAndC))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(hostMessages(timeline)).To(Equal("b:replicas changed a:configuration in force b:answered a:step a:answered"))
	g.Expect(timeline.Clocks).To(BeTrue())
	g.Expect(timeline.LeftOut).To(BeEmpty())
}

// Unreadable lines must be counted by reason and not keep the others out of the
// timeline.
func TestUnreadableLinesAreCounted(t *testing.T) {
	g := NewWithT(t)
	log := "panic: something else\n\n" +
		"time=2026-07-03T01:42:11.000Z message=answered request=q1\n" +
		"time=yesterday message=answered host=a request=q1\n" +
		`time=2026-07-03T01:42:11.000Z level=info message="cut sho` + "\n" +
		"message=" + strings.Repeat("x", 100_000) + "\n" + logOfHostA
	timeline, err := explain.Read("q1", strings.NewReader(log))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(hostMessages(timeline)).To(Equal("a:configuration in force a:step a:answered"))
	g.Expect(timeline.LeftOut).To(Equal(map[explain.Reason]int{
		explain.ReasonNoPairs: 2, explain.ReasonNoHost: 1, explain.ReasonNoTime: 1, explain.ReasonTooLong: 1,
	}))
}

func TestReadErrorIsReported(t *testing.T) {
	_, err := explain.Read("q1", io.MultiReader(strings.NewReader(logOfHostA), failingReader{}))
	NewWithT(t).Expect(err).To(MatchError(io.ErrUnexpectedEOF))
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
