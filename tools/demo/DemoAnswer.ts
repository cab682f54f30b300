/** The body of an answer to the demo's job. */
export default interface DemoAnswer {
  readonly outcome: string;
  readonly reason?: string;
  readonly results?: readonly {
    readonly index: number;
    readonly runMs: number;
    readonly output: { readonly output: { readonly n: number } };
  }[];
}
