import { fromBinary } from '@bufbuild/protobuf';
import { type Readable, finished } from 'node:stream';
import Wakeup from '../core/Wakeup';
import { type Frame, FrameSchema } from '../gen/magnoliakeel/v1/peer_pb';
import envelopeFlags from './envelopeFlags';
import EnvelopeDecoder from './EnvelopeDecoder';

/**
 * The frames that arrive on a stream of the Connect protocol. The RPC library reads a stream through a
 * chain of asynchronous iterators, which is most of what a link costs a process; here a frame is read
 * where its bytes arrive.
 */
export default class FrameReader implements AsyncIterator<Frame, undefined> {
  private readonly frames: Frame[] = [];

  private readonly splitter = EnvelopeDecoder.create();

  private readonly changed = Wakeup.create();

  /** Whether nothing more will arrive, in good order or by `failure`. */
  private isOver = false;

  private failure: Error | undefined;

  private constructor(private readonly stream: Readable) {}

  /** Begins to read a stream. */
  static of(stream: Readable): FrameReader {
    const reader = new FrameReader(stream);
    stream.on('data', (chunk: Uint8Array) => reader.take(chunk));
    finished(stream, { writable: false }, (error) => reader.end(error ?? undefined));
    return reader;
  }

  /** The next frame. Rejects when the stream has failed, or the peer has ended it with an error. */
  async next(): Promise<IteratorResult<Frame, undefined>> {
    for (;;) {
      const value = this.frames.shift();
      if (value) {
        if (this.frames.length === 0 && this.stream.isPaused()) this.stream.resume();
        return { done: false, value };
      }
      if (this.failure) throw this.failure;
      if (this.isOver) return { done: true, value: undefined };
      await this.changed.wait();
    }
  }

  private take(chunk: Uint8Array): void {
    if (this.isOver) return;
    try {
      this.splitter.push(chunk).forEach(({ flags, content }) => this.read(flags, content));
    } catch (error) {
      this.end(error as Error);
    }
    if (this.frames.length >= READ_AHEAD_FRAMES) this.stream.pause();
    this.changed.wake();
  }

  private read(flags: number, content: Uint8Array): void {
    if (flags === envelopeFlags.endStream) this.end(errorOf(content));
    else if (flags === envelopeFlags.none) this.frames.push(fromBinary(FrameSchema, content));
    else throw new Error(`a frame with the flags ${flags}, which were not agreed`);
  }

  private end(failure?: Error): void {
    if (this.isOver) return;
    this.isOver = true;
    const isCut = !failure && this.splitter.hasPartialEnvelope;
    this.failure = isCut ? new Error('the stream has ended within a frame') : failure;
    this.changed.wake();
  }
}

/** Frames that wait for their reader before no more are taken from the connection. */
const READ_AHEAD_FRAMES = 64;

/** What the last envelope of a stream says to have gone wrong, if anything. */
function errorOf(content: Uint8Array): Error | undefined {
  const { error } = JSON.parse(Buffer.from(content).toString()) as LastMessage;
  return error && new Error(error.message ?? error.code ?? 'the peer has ended the link');
}

/** The last message of a stream, by the Connect protocol. */
interface LastMessage {
  readonly error?: { readonly code?: string; readonly message?: string };
}
