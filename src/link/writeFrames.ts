import { toBinary } from '@bufbuild/protobuf';
import type { Writable } from 'node:stream';
import { type Frame, FrameSchema } from '../gen/magnoliakeel/v1/peer_pb';
import encodeEnvelope from './encodeEnvelope';
import envelopeFlags from './envelopeFlags';

/**
 * Writes frames to a stream in the Connect protocol, each after the write buffer has space again.
 * Resolves when all are written or the stream is closed; rejects if a frame cannot be encoded.
 */
export default async function writeFrames(
  stream: Writable,
  frames: AsyncIterable<Frame>,
): Promise<void> {
  for await (const frame of frames) {
    if (stream.destroyed) return;
    const hasSpace = stream.write(encodeEnvelope(envelopeFlags.none, toBinary(FrameSchema, frame)));
    if (!hasSpace) await waitForDrain(stream);
  }
}

function waitForDrain(stream: Writable): Promise<void> {
  return new Promise((resolve) => {
    const done = (): void => {
      stream.off('drain', done);
      stream.off('close', done);
      resolve();
    };
    stream.on('drain', done);
    stream.on('close', done);
    if (stream.destroyed) done();
  });
}
