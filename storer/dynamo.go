package storer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
)

// The attributes of a row in the platform's table.
const (
	attributeService = "service"
	attributeKey     = "key"
	attributeVersion = "version"
	attributeWriteID = "writeId"
	attributeValue   = "value"
)

// DynamoOptions configures the client of the platform's table service.
type DynamoOptions struct {
	// Endpoint is the URL of the service, with an IP address as host.
	Endpoint string
	Region   string
	// Table is the name of the table; its partition key is "service" and its sort key is "key".
	Table string
	// Service is the service whose rows are read and written; it is the value of the partition key.
	Service     string
	Credentials aws.CredentialsProvider
	HTTPClient  *http.Client
	// Timeout is the timeout of one request.
	Timeout time.Duration
}

type dynamo struct {
	options DynamoOptions
	client  *dynamodb.Client
}

// NewDynamo returns a client for the DynamoDB API (AWS API version 2012-08-10); it does not retry requests.
func NewDynamo(options DynamoOptions) Table {
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(options.Endpoint),
		Region:       options.Region,
		Credentials:  options.Credentials,
		HTTPClient:   options.HTTPClient,
		Retryer:      aws.NopRetryer{},
	})
	d := &dynamo{options: options, client: client}
	return Table{Read: d.read, Range: d.readRange, Write: d.write}
}

func (d *dynamo) key(key string) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attributeService: &types.AttributeValueMemberS{Value: d.options.Service},
		attributeKey:     &types.AttributeValueMemberS{Value: key},
	}
}

func (d *dynamo) read(ctx context.Context, key string) (Row, error) {
	ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	out, err := d.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(d.options.Table),
		Key:            d.key(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return Row{}, fmt.Errorf("%w: get item: %w", ErrUnavailable, err)
	}
	if len(out.Item) == 0 {
		return Row{}, ErrNotFound
	}
	return rowOf(out.Item)
}

func (d *dynamo) readRange(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	var start map[string]types.AttributeValue
	for {
		out, err := d.queryPage(ctx, prefix, start)
		if err != nil {
			return nil, err
		}
		for _, item := range out.Items {
			row, err := rowOf(item)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
		start = out.LastEvaluatedKey
		if len(start) == 0 {
			return rows, nil
		}
	}
}

func (d *dynamo) queryPage(ctx context.Context, prefix string, start map[string]types.AttributeValue) (*dynamodb.QueryOutput, error) {
	ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	out, err := d.client.Query(ctx, &dynamodb.QueryInput{
		TableName:              aws.String(d.options.Table),
		ConsistentRead:         aws.Bool(true),
		ExclusiveStartKey:      start,
		KeyConditionExpression: aws.String("#s = :s AND begins_with(#k, :p)"),
		ExpressionAttributeNames: map[string]string{
			"#s": attributeService,
			"#k": attributeKey,
		},
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":s": &types.AttributeValueMemberS{Value: d.options.Service},
			":p": &types.AttributeValueMemberS{Value: prefix},
		},
	})
	if err != nil {
		return nil, fmt.Errorf("%w: query: %w", ErrUnavailable, err)
	}
	return out, nil
}

func (d *dynamo) write(ctx context.Context, writeID string, changes []Change) error {
	ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	items := make([]types.TransactWriteItem, 0, len(changes))
	for _, c := range changes {
		items = append(items, d.item(writeID, c))
	}
	_, err := d.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	return classifyWrite(err)
}

func (d *dynamo) item(writeID string, c Change) types.TransactWriteItem {
	condition, names, values := conditionOf(c)
	table := aws.String(d.options.Table)
	if c.CheckOnly {
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: table, Key: d.key(c.Key),
			ConditionExpression: condition, ExpressionAttributeNames: names, ExpressionAttributeValues: values,
		}}
	}
	if c.Delete {
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: table, Key: d.key(c.Key),
			ConditionExpression: condition, ExpressionAttributeNames: names, ExpressionAttributeValues: values,
		}}
	}
	item := d.key(c.Key)
	item[attributeVersion] = number(max(c.Expect, 0) + 1)
	item[attributeWriteID] = &types.AttributeValueMemberS{Value: writeID}
	item[attributeValue] = &types.AttributeValueMemberS{Value: string(c.Value)}
	return types.TransactWriteItem{Put: &types.Put{
		TableName: table, Item: item,
		ConditionExpression: condition, ExpressionAttributeNames: names, ExpressionAttributeValues: values,
	}}
}

func conditionOf(c Change) (condition *string, names map[string]string, values map[string]types.AttributeValue) {
	switch c.Expect {
	case AnyVersion:
		return nil, nil, nil
	case 0:
		return aws.String("attribute_not_exists(#k)"), map[string]string{"#k": attributeKey}, nil
	default:
		return aws.String("#v = :v"),
			map[string]string{"#v": attributeVersion},
			map[string]types.AttributeValue{":v": number(c.Expect)}
	}
}

func number(n int64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

func rowOf(item map[string]types.AttributeValue) (Row, error) {
	var row Row
	text := func(name string) string {
		switch v := item[name].(type) {
		case *types.AttributeValueMemberS:
			return v.Value
		case *types.AttributeValueMemberN:
			return v.Value
		default:
			return ""
		}
	}
	version, err := strconv.ParseInt(text(attributeVersion), 10, 64)
	if err != nil {
		return row, fmt.Errorf("read version of row %s: %w", text(attributeKey), err)
	}
	return Row{
		Key:     text(attributeKey),
		Version: version,
		WriteID: text(attributeWriteID),
		Value:   []byte(text(attributeValue)),
	}, nil
}

// classifyWrite returns ErrConflict for a cancelled transaction, ErrUnavailable for a write that was not sent or was throttled, and ErrOutcomeUnknown otherwise.
func classifyWrite(err error) error {
	if err == nil {
		return nil
	}
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return fmt.Errorf("%w: %w", ErrConflict, err)
	}
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	var throttled *types.ProvisionedThroughputExceededException
	if errors.As(err, &throttled) || strings.Contains(err.Error(), "ThrottlingException") {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}
