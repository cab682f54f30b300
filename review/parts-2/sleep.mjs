/* global setTimeout */
/** Resolves after this many ms. */
export default function sleep(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
