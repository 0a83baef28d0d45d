package peer

// The sequence number of an agent's report also carries the pace of its engine. Messages are
// encoded without field names, and releases reject a message with more fields than they know, so
// that the report cannot get another field. Releases that know no pace only compare the numbers
// of one agent's reports, and forward them as they are.
const (
	seqHasPace  = 1 << 63
	paceBits    = 10
	maxPace     = 1<<paceBits - 1
	maxSeqCount = 1<<(63-paceBits) - 1
)

// NextSeq returns the sequence number of the report that follows the one with number last, with
// the pace of the engine in percent of the time by its cost model; 0 if that is unknown. The first
// report follows 0.
func NextSeq(last uint64, pacePercent int) uint64 {
	count := uint64(1)
	if last&seqHasPace != 0 {
		count += last >> paceBits & maxSeqCount
	}
	return seqHasPace | count<<paceBits | uint64(min(max(pacePercent, 0), maxPace))
}

// StatedPace returns the pace that an engine states, in percent of the time by its cost model; 0 if
// it is unknown.
func (s *EngineState) StatedPace() int {
	if s.Seq&seqHasPace == 0 {
		return 0
	}
	return int(s.Seq & maxPace)
}
