/** A wait for an owner's answer. */
export default interface OwnerWait {
  /** Aborts when an answer can't be expected any more. */
  readonly signal: AbortSignal;
  /** Removes the wait's listeners; to be called once the answer has arrived. */
  readonly release: () => void;
}
