/** A promise that stays open. */
export default function never(): Promise<never> {
  return new Promise(() => {
    // Nothing settles it.
  });
}
