/** The records that the entries have of one job. */
export default interface JobReport {
  readonly service: string;
  readonly id: string;
  /** Instance of the entry that owns the job according to the view; empty when there is none. */
  readonly owner: string;
  /** The entries that have a record of the job. */
  readonly holders: readonly {
    readonly entry: string;
    readonly outcome: string;
    readonly reason: string;
    readonly size: number;
    readonly finished: number;
    /** The sidecar at which each task was last started, and its status. */
    readonly tasks: readonly {
      readonly index: number;
      readonly sidecar: string;
      readonly status: string;
    }[];
  }[];
  /** Services of the active configuration, for suggestions when a name is mistyped. */
  readonly services: readonly string[];
  /** Members of the view that did not answer and may therefore have a record too. */
  readonly silent: readonly string[];
}
