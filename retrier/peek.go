package retrier

import "time"

// Outlook is what a decision on a retry of a row would be based on now.
type Outlook struct {
	Usage
	// Left is how many retries the row's share allows now.
	Left int64
}

// Peek returns what a decision on a retry would be based on. Percent is the row's RetryPercent. Unlike Usage, it keeps no state alive.
func (re *Retrier) Peek(key RowKey, percent int) Outlook {
	now := time.Since(re.start)
	re.mu.Lock()
	defer re.mu.Unlock()
	ra, sv := re.rows.peek(key.row()), re.services.peek(key.Service)
	ol := Outlook{Left: ra.Left(now, percent)}
	ol.Usage = Usage{Firsts: ra.total.first, Retries: ra.total.retries, Credit: sv.credit.Retries(now)}
	return ol
}

// peek returns a copy of the value of a key, as at would return it if the table were not swept.
func (tb *table[K, V]) peek(key K) V {
	en, ok := tb.entries[key]
	if !ok && len(tb.entries) >= tb.most {
		var shared K
		en, ok = tb.entries[shared]
	}
	if !ok {
		var none V
		return none
	}
	return en.value
}
