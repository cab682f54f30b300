import type SendingWay from './SendingWay';

/** Which jobs callers send in other ways than `once`. */
export default interface SendingWayMix {
  /** The ways to draw from. */
  readonly ways: readonly SendingWay[];
  /** One in this many jobs is sent in such a way, on average. */
  readonly oneIn: number;
}
