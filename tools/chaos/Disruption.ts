/** Something that was done to a process or to the platform stand-in. */
export default interface Disruption {
  readonly at: number;
  readonly kind: string;
  readonly target: string;
}
