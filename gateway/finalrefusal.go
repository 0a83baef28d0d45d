package gateway

import (
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/quarantine"
)

// maxLoggedPath bounds how many bytes of a path a log record holds.
const maxLoggedPath = 64

// logFinalRefusal adds to a log record what tells a request that is wrong from one that is refused by
// mistake with a status that callers do not retry.
func (x *exchange) logFinalRefusal(f logrus.Fields, reason Reason) {
	switch reason {
	case ReasonNoRoute:
		path := x.r.URL.Path
		f["host"], f["path"] = x.r.Host, path[:min(len(path), maxLoggedPath)]
	case ReasonUnknownKey:
		// The digest shows whether refusals have the key in common; the key itself is a secret.
		f["key"] = x.g.cfg.Hasher.Fingerprint(quarantine.Content{Caller: x.call.Key}).Caller().String()
	case ReasonBodyTooLarge, ReasonBodyBroken:
		f["length"], f["read"], f["limit"] = x.r.ContentLength, len(x.body), x.config.Limits.BodyBytes
		if x.bodyErr != nil {
			f["error"] = x.bodyErr.Error()
		}
	default:
		return
	}
	if reason == ReasonNoRoute || reason == ReasonUnknownKey {
		mirror := x.g.cfg.MirrorState()
		f["copy"], f["copy_age_ms"] = mirror.Revision, mirror.Age.Milliseconds()
	}
}
