/** An entry that owned a job in a previous view. */
export default interface FormerOwner {
  readonly incarnation: string;
  /** Its address; undefined when it is no longer a member. */
  readonly address: string | undefined;
  /** Wall-clock time of its removal, in ms; undefined while it is a member. */
  readonly removedMs: number | undefined;
  /** Number of the first view without it; undefined while it is a member. */
  readonly removedInView: bigint | undefined;
  /** Whether it left gracefully, so that none of its tasks is in doubt. */
  readonly departed: boolean;
}
