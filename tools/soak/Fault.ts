/** One injected fault. */
export default interface Fault {
  readonly kind:
    | 'silence'
    | 'cut'
    | 'reset'
    | 'delay'
    | 'pause'
    | 'kill'
    | 'stop'
    | 'reload'
    | 'hang-up'
    | 'crash'
    | 'restart'
    | 'flood'
    | 'store-down'
    | 'store-slow'
    | 'store-loses-answers'
    | 'store-cut';
  /** Start, ms since the start of the run. */
  readonly atMs: number;
  /** Duration, ms; a process that was ended starts again afterwards. */
  readonly forMs: number;
  /** The process that the fault affects, or whose connections it affects; faults of the whole store ignore it. */
  readonly target: string;
  /** For faults of connections: only those dialled by this process; all if absent. */
  readonly from?: string;
  /** For `silence`: the sides whose data is withheld. */
  readonly sides?: readonly ('near' | 'far')[];
  /** For `silence`: whether connections opened meanwhile are silent too. */
  readonly alsoNew?: boolean;
  /** For `silence`: whether it ends with resets of the connections. */
  readonly endsByReset?: boolean;
  /** For `delay` and `store-slow`: the added delay, ms. */
  readonly ms?: number;
}
