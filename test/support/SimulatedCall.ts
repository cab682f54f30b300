/** What a simulated caller asks for, and how it goes on. */
export default interface SimulatedCall {
  readonly id: string;
  readonly kind: 'job' | 'request';
  /** How long each task runs, in milliseconds. */
  readonly tasks: readonly number[];
  /** The entry it turns to first. */
  readonly via: string;
  readonly idempotent?: boolean;
  /** One submission only; else it asks again until it is told something final. */
  readonly once?: boolean;
  readonly action?: 'submit' | 'cancel';
}
