/**
 * What becomes of a caller's request to cancel a batch. `open`: the batch was open here; `absent`: it was not, but may be
 * at another entry. `unstored`: the batch is cancelled as far as entries can be reached, but that may not outlast them.
 */
type CancelOutcome = 'open' | 'absent' | 'unstored';

export type { CancelOutcome as default };
