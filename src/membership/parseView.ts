import { fromJsonString } from '@bufbuild/protobuf';
import { Result } from 'neverthrow';
import { ViewSchema, type View } from '../gen/magnoliakeel/v1/peer_pb';

/**
 * Reads a view as the store holds it, protobuf JSON; the error says what is wrong with it. Fields
 * of a later version are passed over, so that neighbouring versions can run side by side.
 */
export default function parseView(value: string): Result<View, string> {
  return Result.fromThrowable(
    () => fromJsonString(ViewSchema, value, { ignoreUnknownFields: true }),
    String,
  )();
}
