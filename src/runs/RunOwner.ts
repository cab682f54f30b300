/** The entry that requested a run, as its sidecar sees it. */
export default interface RunOwner {
  /** Whether it is confirmed alive, so that its start requests may be executed. */
  readonly isConfirmed: boolean;
  /** Time since it was last confirmed alive, ms; infinite once its link has ended. */
  readonly silentMs: number;
}
