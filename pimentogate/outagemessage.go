package pimentogate

import (
	"time"

	"github.com/VictoriaMetrics/easyproto"

	"pimentoarch/pimentowire"
)

// message Failure {
//   fixed64 run = 1; uint64 number = 2; uint64 age_millis = 3;
// }

func marshalFailure(mm *easyproto.MessageMarshaler, f *failure) {
	mm.AppendFixed64(1, f.run)
	mm.AppendUint64(2, f.number)
	mm.AppendUint64(3, uint64(-f.at.Milliseconds()))
}

func failureField(fc *easyproto.FieldContext) (f failure, ok bool) {
	data, ok := fc.MessageData()
	if !ok {
		return f, false
	}
	err := pimentowire.EachField(data, func(fc *easyproto.FieldContext) (ok bool) {
		switch fc.FieldNum {
		case 1:
			f.run, ok = fc.Fixed64()
		case 2:
			f.number, ok = fc.Uint64()
		case 3:
			var age time.Duration
			age, ok = ageField(fc)
			f.at = -age
		default:
			ok = true
		}
		return ok
	})
	return f, err == nil
}
