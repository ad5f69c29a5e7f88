package fleet

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"math"

	"golang.org/x/net/http/httpguts"
)

// AccountError says what is wrong with an account of a configuration. Its text holds
// neither names nor keys, since either may have been put in the other's place.
type AccountError struct {
	// Account is an index in Config.Accounts.
	Account int
	// Field is a field of Account, and Key an index in KeyDigests if that is the field.
	Field AccountField
	Key   int
	// Message says what is wrong with the field.
	Message string
}

// AccountField names a field of Account.
type AccountField string

// The fields of an Account that can have a fault.
const (
	AccountName     AccountField = "Name"
	AccountKeys     AccountField = "KeyDigests"
	AccountPriority AccountField = "Priority"
	AccountRate     AccountField = "RatePerSecond"
	AccountBurst    AccountField = "Burst"
)

// Error implements error.
func (f *AccountError) Error() string {
	if f.Field == AccountKeys {
		return fmt.Sprintf("Accounts[%d].%s[%d]: %s", f.Account, f.Field, f.Key, f.Message)
	}
	return fmt.Sprintf("Accounts[%d].%s: %s", f.Account, f.Field, f.Message)
}

// ValidateAccounts checks the accounts and returns the first fault, or nil.
func (c *Config) ValidateAccounts() *AccountError {
	names := make(map[string]int, len(c.Accounts))
	keys := make(map[string]int)
	for i := range c.Accounts {
		a := &c.Accounts[i]
		if field, message := a.fault(); message != "" {
			return &AccountError{Account: i, Field: field, Message: message}
		}
		if first, known := names[a.Name]; known {
			return &AccountError{Account: i, Field: AccountName, Message: fmt.Sprintf("account %d of the list has the same name", first)}
		}
		names[a.Name] = i
		for k, digest := range a.KeyDigests {
			if len(digest) != sha256.Size {
				return &AccountError{i, AccountKeys, k, fmt.Sprintf("the digest has %d bytes, %d are due", len(digest), sha256.Size)}
			}
			if first, known := keys[string(digest)]; known {
				return &AccountError{i, AccountKeys, k, fmt.Sprintf("account %d of the list has the same key", first)}
			}
			keys[string(digest)] = i
		}
	}
	return nil
}

// fault returns a field of the account that is invalid by itself, and why; an empty
// message if there is none.
func (a *Account) fault() (AccountField, string) {
	switch {
	case a.Name == "":
		return AccountName, "the name is empty"
	case !IsHeaderText(a.Name):
		return AccountName, "the name can't be sent in a header"
	case a.Priority != nil && (*a.Priority < 0 || *a.Priority > math.MaxInt32):
		return AccountPriority, fmt.Sprintf("%d isn't between 0 and %d", *a.Priority, math.MaxInt32)
	case !isQuota(a.RatePerSecond):
		return AccountRate, fmt.Sprintf("%g isn't a finite number of at least 0", a.RatePerSecond)
	case !isQuota(a.Burst):
		return AccountBurst, fmt.Sprintf("%g isn't a finite number of at least 0", a.Burst)
	default:
		return "", ""
	}
}

func isQuota(n float64) bool { return n >= 0 && !math.IsInf(n, 1) }

// IsHeaderText reports whether a text that isn't empty arrives unchanged as the value of
// a header: it has no control characters, and no space at its ends, which receivers
// remove.
func IsHeaderText(text string) bool {
	if text == "" || !httpguts.ValidHeaderFieldValue(text) {
		return false
	}
	return !isSpace(text[0]) && !isSpace(text[len(text)-1])
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' }

// KeyDigest returns the digest under which an account holds a key.
func KeyDigest(key string) []byte {
	sum := sha256.Sum256([]byte(key))
	return sum[:]
}

// keyring finds accounts by their keys. The index is an HMAC of the key's digest under a
// secret of the process, so that the time of a look-up says nothing about other keys.
type keyring struct {
	secret   []byte
	accounts map[[sha256.Size]byte]*Account
}

func newKeyring(accounts []Account, secret []byte) keyring {
	k := keyring{secret: secret, accounts: make(map[[sha256.Size]byte]*Account)}
	for i := range accounts {
		for _, digest := range accounts[i].KeyDigests {
			k.accounts[k.index(digest)] = &accounts[i]
		}
	}
	return k
}

func (k keyring) index(digest []byte) (index [sha256.Size]byte) {
	mac := hmac.New(sha256.New, k.secret)
	_, _ = mac.Write(digest)
	mac.Sum(index[:0])
	return index
}
