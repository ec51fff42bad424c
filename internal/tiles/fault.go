package tiles

import (
	"fmt"
	"net/http"
)

// Fault is what is wrong with an address, in the standard's words.
type Fault struct {
	Status  int    // of HTTP
	Code    string // one of the standard's exception codes, or empty
	Locator string // the parameter at fault, or empty
	Text    string // for a person
	Report  bool   // answered by an exception report, as WMTS wants it; else in plain text
}

// Error gives the fault's text.
func (f *Fault) Error() string { return f.Text }

// The standard's exception codes.
const (
	MissingParameter = "MissingParameterValue"
	InvalidParameter = "InvalidParameterValue"
	OutOfRange       = "TileOutOfRange"
	NotSupported     = "OperationNotSupported"
	NoApplicableCode = "NoApplicableCode"
)

// XML writes an exception report.
func (f *Fault) XML() []byte {
	locator := ""
	if f.Locator != "" {
		locator = fmt.Sprintf(" locator=%q", escapeXML(f.Locator))
	}
	return fmt.Appendf(nil, `<?xml version="1.0" encoding="UTF-8"?>
<ows:ExceptionReport xmlns:ows="http://www.opengis.net/ows/1.1" version="1.1.0" xml:lang="en">
  <ows:Exception exceptionCode=%q%s>
    <ows:ExceptionText>%s</ows:ExceptionText>
  </ows:Exception>
</ows:ExceptionReport>
`, f.Code, locator, escapeXML(f.Text))
}

// plainFault is answered in plain text.
func plainFault(status int, text string) *Fault {
	return &Fault{Status: status, Text: text}
}

// reportedFault is answered by an exception report with the status 400.
func reportedFault(code, locator, text string) *Fault {
	return &Fault{Status: http.StatusBadRequest, Code: code, Locator: locator, Text: text, Report: true}
}

// missingParameter tells that a parameter is not given.
func missingParameter(name string) *Fault {
	return reportedFault(MissingParameter, name, name+" is missing")
}

// invalidParameter tells that a parameter cannot have a value.
func invalidParameter(name, value string) *Fault {
	return reportedFault(InvalidParameter, name, fmt.Sprintf("%s cannot be %.40q", name, value))
}

// unsupportedOperation tells that the service does not have an operation of WMTS.
func unsupportedOperation(text string) *Fault {
	fault := reportedFault(NotSupported, "Request", text)
	fault.Status = http.StatusNotImplemented
	return fault
}
