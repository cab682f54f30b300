import { expect, test } from 'vitest';
import encodeEnvelope from '../../src/link/encodeEnvelope';
import EnvelopeDecoder from '../../src/link/EnvelopeDecoder';

const texts = ['', 'a', 'a longer one', 'the last'];
const stream = Buffer.concat(texts.map((text, flags) => encodeEnvelope(flags, Buffer.from(text))));

function textsOf(chunks: readonly Uint8Array[]): readonly string[] {
  const splitter = EnvelopeDecoder.create();
  const envelopes = chunks.flatMap((chunk) => splitter.push(chunk));
  return envelopes.map(({ flags, content }) => `${flags} ${Buffer.from(content).toString()}`);
}

test('decodes the same envelopes for every split of their bytes into chunks', () => {
  const atOnce = textsOf([stream]);
  const byteByByte = textsOf([...stream].map((byte) => Uint8Array.of(byte)));
  const inTwoChunks = Array.from({ length: stream.length }, (_, at) =>
    textsOf([stream.subarray(0, at), stream.subarray(at)]),
  );
  expect(atOnce).toEqual(texts.map((text, flags) => `${flags} ${text}`));
  expect([byteByByte, ...inTwoChunks]).toEqual(Array(1 + stream.length).fill(atOnce));
});

test('throws at an envelope that exceeds the size limit', () => {
  const head = Uint8Array.of(0, 0xff, 0xff, 0xff, 0xff);
  expect(() => EnvelopeDecoder.create().push(head)).toThrow('frame too long: 4294967295 bytes');
});

test('reports a partial envelope', () => {
  const splitter = EnvelopeDecoder.create();
  splitter.push(stream.subarray(0, 7));
  expect(splitter.hasPartialEnvelope).toBe(true);
});
