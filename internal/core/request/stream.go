package request

// resume continues the stream at its engine without recomputing tokens.
func (r *Request) resume() []Effect {
	r.state = stateRunning
	r.attempt++
	r.current = r.attempt
	r.looking, r.leaving, r.stranded = false, false, false
	r.resumed, r.attemptDelivered = true, false
	r.verified = true
	return []Effect{ResumeStream{Attempt: r.attempt, Position: r.position}}
}

func (r *Request) opened(ev Opened) []Effect {
	if r.isSecond(ev.Attempt) {
		r.handedOver = true
		return nil
	}
	if !r.isCurrent(ev.Attempt) {
		return nil
	}
	r.handedOver = true
	if ev.Stream != "" {
		r.position.Stream = ev.Stream
	}
	return nil
}

// token forwards each token exactly once and in order. Tokens that the caller
// already has are only compared; the request fails if they differ, so that an
// answer never mixes tokens of two different answers.
func (r *Request) token(ev Token) []Effect {
	if r.isSecond(ev.Attempt) {
		return r.secondToken(ev)
	}
	if !r.isCurrent(ev.Attempt) {
		return nil
	}
	if ev.Offset < r.position.Next {
		return r.repeatedToken(ev)
	}
	if ev.Offset > r.position.Next || !r.verified {
		return r.diverged()
	}
	effects := r.dropSecond(SilenceWentOn)
	r.attemptDelivered, r.runDelivered = true, !r.replacedFree
	// The caller has the beginning of this answer, so an earlier error answer
	// can no longer replace it.
	r.hasErrorAnswer = false
	r.position.Next++
	r.position.Sum = ev.Sum
	return append(effects, Forward{Offset: ev.Offset})
}

// repeatedToken handles a token that was already forwarded. Only the last of
// them is compared, as its checksum covers all earlier tokens.
func (r *Request) repeatedToken(ev Token) []Effect {
	r.recomputed++
	if ev.Offset < r.position.Next-1 {
		return nil
	}
	if ev.Sum != r.position.Sum {
		return r.diverged()
	}
	r.verified = true
	return nil
}

func (r *Request) diverged() []Effect {
	return r.endUnanswered(Outcome{Reason: ReasonDiverged, Step: "splice", Peer: r.position.Server, RetryAfter: DefaultRetryAfter})
}

func (r *Request) completed(ev Completed) []Effect {
	var effects []Effect
	if r.isSecond(ev.Attempt) {
		effects = r.replaceCurrent(SilenceOvertaken)
	}
	if !r.isCurrent(ev.Attempt) {
		return nil
	}
	if !r.verified {
		return r.diverged()
	}
	effects = append(effects, r.dropSecond(SilenceWentOn)...)
	if r.reserved {
		r.state = stateRecording
		return append(effects, RecordOutcome{Kind: OutcomeAnswered, Await: true})
	}
	return append(effects, r.finish(Outcome{Kind: OutcomeAnswered})...)
}
