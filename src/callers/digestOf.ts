import { createHash } from 'node:crypto';

/** Digest of a submission's inputs, which shows when an id is resubmitted with a different body. */
export default function digestOf(inputs: readonly Uint8Array[]): string {
  const hash = createHash('sha256');
  inputs.forEach((input) => {
    hash.update(`${input.length}:`);
    hash.update(input);
  });
  return hash.digest('base64url');
}
