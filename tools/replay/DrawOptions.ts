import type Recording from './Recording';

/** Parameters of a synthetic recording. */
export default interface DrawOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Multiple of the usual load. */
  readonly load: number;
  readonly entries: number;
  readonly backends: number;
  /** The workload that requests are drawn from. */
  readonly work?: 'bookings' | 'ledgers';
  /** Duration ratios of rows of backend servers, assigned in turn; a row has one of each zone. */
  readonly rowSpeeds?: readonly number[];
  readonly linkBytesPerMs?: Recording['linkBytesPerMs'];
  readonly absences?: Recording['absences'];
  readonly troubles: Recording['troubles'];
  /** For each queue, the multiple of its load from 3 s on, for four seconds. */
  readonly bursts: readonly number[];
  /** Multiples of each queue's load during parts of the recording. */
  readonly phases?: readonly {
    readonly fromMs: number;
    readonly untilMs: number;
    readonly times: readonly number[];
  }[];
  /** Cores of each backend server, in thousandths, if all have the same. */
  readonly backendMilli?: number;
  /** Duration ratios of backend servers, assigned at random in equal shares. */
  readonly speeds?: readonly number[];
  /** Share of the tasks that take `times` as long on any backend server. */
  readonly tail?: { readonly share: number; readonly times: number };
  readonly processor?: Recording['processor'];
  /** Share of the first queue's batches that crash their backend server, and how long it is down then. */
  readonly crashing?: { readonly share: number; readonly downMs: number };
}
