/** A wait for an owner's answer. */
export default interface OwnerWait {
  /** Aborts when waiting on makes no sense. */
  readonly signal: AbortSignal;
  /** Releases the wait once the answer is there. */
  readonly end: () => void;
}
