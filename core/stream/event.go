package stream

// errorCode is the code in the error event of an incomplete answer.
const errorCode = "answer_incomplete"

type errorEvent struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// ErrorEvent returns the event that tells a caller that the answer is incomplete and
// that the stream ends.
func ErrorEvent(reason string) []byte {
	message := "the answer is incomplete: " + reason
	data, err := encode(errorEvent{Error: errorBody{Message: message, Type: "server_error", Code: errorCode}})
	if err != nil {
		// Encoding a struct of strings cannot fail.
		panic("stream: " + err.Error())
	}
	return dataEvent(data)
}

// dataEvent returns a server-sent event with one line of data.
func dataEvent(data []byte) []byte {
	out := make([]byte, 0, len("data: \n\n")+len(data))
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, "\n\n"...)
}
