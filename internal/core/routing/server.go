package routing

import "time"

// server is what a Router knows about one backend server.
type server struct {
	Server
	usable bool
	// excluded is the number of the call of Pick that must not choose it.
	excluded uint64
	slots    int
	// own counts this entry's requests in flight.
	own int
	// others estimates the requests of other entries when last reported.
	others     float64
	reportedAt time.Duration

	cacheSeq  uint64
	cacheGaps uint64
}

func newServer(config Server) *server {
	s := &server{usable: true}
	s.configure(config)
	return s
}

// configure takes over new configuration and keeps what was learned.
func (s *server) configure(config Server) {
	s.Server = config
	s.slots = max(1, config.Slots)
}

func (s *server) started(Load) {
	s.own++
}

func (s *server) finished(time.Duration, Outcome) {
	s.own = max(0, s.own-1)
}

func (s *server) reported(now time.Duration, report Report) {
	if report.Slots > 0 {
		s.slots = report.Slots
	}
	s.others = max(0, float64(report.Running+report.Waiting-s.own))
	s.reportedAt = now - report.Age
}

// expect predicts the seconds to the first token and to completion.
func (s *server) expect(_ time.Duration, request *Request, cached int) (first, completion float64) {
	network := 2 * s.Delay.Seconds()
	service := 0.05
	if s.TokensPerSecond > 0 {
		gap := float64(s.slots) / s.TokensPerSecond
		service = gap * (float64(request.OutputTokens) + float64(request.PromptTokens-cached)/10)
	}
	wait := max(0, float64(s.own)+s.others+1-float64(s.slots)) * service / float64(s.slots)
	return network + wait, network + wait + service
}

// decision builds the Decision that picks s.
func (s *server) decision(now time.Duration, request *Request, reason Reason) Decision {
	first, completion := s.expect(now, request, 0)
	return Decision{
		Server:             s.Name,
		ExpectedFirstToken: seconds(first),
		ExpectedCompletion: seconds(completion),
		Reason:             reason,
	}
}

// seconds converts seconds to a Duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
