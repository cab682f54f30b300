import { createHash } from 'node:crypto';

/** A digest of a submission's inputs, by which a resubmission with another body is told. */
export default function digestOf(inputs: readonly Uint8Array[]): string {
  const hash = createHash('sha256');
  inputs.forEach((input) => {
    hash.update(`${input.length}:`);
    hash.update(input);
  });
  return hash.digest('base64url');
}
