package faker

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/snipelift/snipelift/storer"
)

// attribute is a value in the DynamoDB JSON format, of type string or number.
type attribute struct {
	S string `json:"S,omitempty"`
	N string `json:"N,omitempty"`
}

type item map[string]attribute

type conditional struct {
	Key                       item
	Item                      item
	ConditionExpression       string
	ExpressionAttributeValues item
}

type tableRequest struct {
	Key                       item
	ExpressionAttributeValues item
	TransactItems             []struct {
		Put            *conditional
		Delete         *conditional
		ConditionCheck *conditional
	}
}

func (p *Platform) serveTable(w http.ResponseWriter, r *http.Request) {
	var request tableRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeError(w, "SerializationException", err)
		return
	}
	_, operation, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	switch operation {
	case "GetItem":
		p.getItem(w, r, request)
	case "Query":
		p.query(w, r, request)
	case "TransactWriteItems":
		p.transact(w, r, request)
	default:
		writeError(w, "UnknownOperationException", errors.New(operation))
	}
}

func (p *Platform) getItem(w http.ResponseWriter, r *http.Request, request tableRequest) {
	row, err := p.Table(request.Key["service"].S).Read(r.Context(), request.Key["key"].S)
	switch {
	case errors.Is(err, storer.ErrNotFound):
		writeAmazonJSON(w, http.StatusOK, struct{}{})
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		writeAmazonJSON(w, http.StatusOK, map[string]item{"Item": encodeRow(row)})
	}
}

func (p *Platform) query(w http.ResponseWriter, r *http.Request, request tableRequest) {
	values := request.ExpressionAttributeValues
	rows, err := p.Table(values[":s"].S).Range(r.Context(), values[":p"].S)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	items := make([]item, 0, len(rows))
	for _, row := range rows {
		items = append(items, encodeRow(row))
	}
	writeAmazonJSON(w, http.StatusOK, map[string]any{"Items": items, "Count": len(items)})
}

func (p *Platform) transact(w http.ResponseWriter, r *http.Request, request tableRequest) {
	var changes []storer.Change
	service, writeID := "", ""
	for _, t := range request.TransactItems {
		var c storer.Change
		operation := t.Put
		switch {
		case t.Put != nil:
			operation.Key = operation.Item
			c.Value = []byte(operation.Item["value"].S)
			writeID = operation.Item["writeId"].S
		case t.Delete != nil:
			operation = t.Delete
			c.Delete = true
		case t.ConditionCheck != nil:
			operation = t.ConditionCheck
			c.CheckOnly = true
		default:
			writeError(w, "ValidationException", errors.New("empty item"))
			return
		}
		service = operation.Key["service"].S
		c.Key = operation.Key["key"].S
		c.Expect = expectedVersion(operation)
		changes = append(changes, c)
	}
	p.respondToWrite(w, p.Table(service).Write(r.Context(), writeID, changes))
}

func (p *Platform) respondToWrite(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, storer.ErrConflict):
		writeError(w, "TransactionCanceledException", err)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	case p.loseReply():
		panic(http.ErrAbortHandler)
	default:
		writeAmazonJSON(w, http.StatusOK, struct{}{})
	}
}

func expectedVersion(c *conditional) int64 {
	switch {
	case c.ConditionExpression == "":
		return storer.AnyVersion
	case strings.HasPrefix(c.ConditionExpression, "attribute_not_exists"):
		return 0
	default:
		version, _ := strconv.ParseInt(c.ExpressionAttributeValues[":v"].N, 10, 64)
		return version
	}
}

func encodeRow(row storer.Row) item {
	return item{
		"key":     {S: row.Key},
		"version": {N: strconv.FormatInt(row.Version, 10)},
		"writeId": {S: row.WriteID},
		"value":   {S: string(row.Value)},
	}
}

func writeError(w http.ResponseWriter, kind string, err error) {
	writeAmazonJSON(w, http.StatusBadRequest, map[string]string{
		"__type":  "com.amazonaws.dynamodb.v20120810#" + kind,
		"message": err.Error(),
	})
}
