/** A request to cancel a batch, as entries tell each other of it. */
export default interface Cancellation {
  readonly batch: string;
  /** Time since the caller's request, ms. */
  readonly ageMs: number;
  /** Whether the caller has asked this process for it. */
  readonly isOwn: boolean;
}
