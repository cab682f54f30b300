/** An active subscription to the timer service. */
export default interface Subscription {
  /** Ends the subscription. Calling it again does nothing. */
  cancel(): void;
}
