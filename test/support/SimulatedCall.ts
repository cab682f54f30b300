/** A submission of a simulated caller, and whether it is repeated. */
export default interface SimulatedCall {
  readonly id: string;
  readonly kind: 'job' | 'request';
  /** Run time of each task, in ms. */
  readonly tasks: readonly number[];
  /** The entry that it is sent to first. */
  readonly via: string;
  readonly idempotent?: boolean;
  /** Whether to submit only once; otherwise it is resubmitted until there is a final answer. */
  readonly once?: boolean;
  readonly action?: 'submit' | 'cancel';
}
