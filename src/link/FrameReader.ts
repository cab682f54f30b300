import { fromBinary } from '@bufbuild/protobuf';
import { type Readable, finished } from 'node:stream';
import Wakeup from '../core/Wakeup';
import { type Frame, FrameSchema } from '../gen/magnoliakeel/v1/peer_pb';
import envelopeFlags from './envelopeFlags';
import EnvelopeDecoder from './EnvelopeDecoder';

/**
 * Reads the frames of a stream in the Connect protocol. The RPC library (Connect) would read the stream through
 * a chain of asynchronous iterators, which would be most of the CPU cost of a link; here a frame is decoded in the
 * callback in which its bytes arrive.
 */
export default class FrameReader implements AsyncIterator<Frame, undefined> {
  private readonly frames: Frame[] = [];

  private readonly decoder = EnvelopeDecoder.create();

  private readonly wakeup = Wakeup.create();

  /** Whether no more frames will arrive, because the stream was ended cleanly or by `failure`. */
  private isEnded = false;

  private failure: Error | undefined;

  private constructor(private readonly stream: Readable) {}

  /** Starts to read a stream. */
  static of(stream: Readable): FrameReader {
    const reader = new FrameReader(stream);
    stream.on('data', (chunk: Uint8Array) => reader.handleChunk(chunk));
    finished(stream, { writable: false }, (error) => reader.end(error ?? undefined));
    return reader;
  }

  /** Resolves to the next frame. Rejects if the stream failed or the peer ended it with an error. */
  async next(): Promise<IteratorResult<Frame, undefined>> {
    for (;;) {
      const value = this.frames.shift();
      if (value) {
        if (this.frames.length === 0 && this.stream.isPaused()) this.stream.resume();
        return { done: false, value };
      }
      if (this.failure) throw this.failure;
      if (this.isEnded) return { done: true, value: undefined };
      await this.wakeup.wait();
    }
  }

  private handleChunk(chunk: Uint8Array): void {
    if (this.isEnded) return;
    try {
      this.decoder.push(chunk).forEach(({ flags, content }) => this.handleEnvelope(flags, content));
    } catch (error) {
      this.end(error as Error);
    }
    if (this.frames.length >= READ_AHEAD_FRAMES) this.stream.pause();
    this.wakeup.wake();
  }

  private handleEnvelope(flags: number, content: Uint8Array): void {
    if (flags === envelopeFlags.endStream) this.end(endStreamError(content));
    else if (flags === envelopeFlags.none) this.frames.push(fromBinary(FrameSchema, content));
    else throw new Error(`frame with unsupported flags ${flags}`);
  }

  private end(failure?: Error): void {
    if (this.isEnded) return;
    this.isEnded = true;
    const isTruncated = !failure && this.decoder.hasPartialEnvelope;
    this.failure = isTruncated ? new Error('stream ended in the middle of a frame') : failure;
    this.wakeup.wake();
  }
}

/** Number of unread frames at which reading from the connection is paused. */
const READ_AHEAD_FRAMES = 64;

/** The error in the last envelope of a stream, if there is one. */
function endStreamError(content: Uint8Array): Error | undefined {
  const { error } = JSON.parse(Buffer.from(content).toString()) as EndStreamMessage;
  return error && new Error(error.message ?? error.code ?? 'peer ended the link with an error');
}

/** The last message of a stream in the Connect protocol. */
interface EndStreamMessage {
  readonly error?: { readonly code?: string; readonly message?: string };
}
