import type { Frame, Hello } from '../gen/magnoliakeel/v1/peer_pb';

/** The hello that a link's first frame must begin with, or undefined when it does not. */
export default function readHello(first: IteratorResult<Frame, unknown>): Hello | undefined {
  if (first.done) return undefined;
  const kind = first.value.messages[0]?.kind;
  return kind?.case === 'hello' ? kind.value : undefined;
}
