import type { Frame, Hello } from '../gen/magnoliakeel/v1/peer_pb';

/** Returns the hello at the start of a link's first frame, or undefined if it does not start with one. */
export default function readHello(first: IteratorResult<Frame, unknown>): Hello | undefined {
  if (first.done) return undefined;
  const kind = first.value.messages[0]?.kind;
  return kind?.case === 'hello' ? kind.value : undefined;
}
