import { fromJsonString } from '@bufbuild/protobuf';
import { Result } from 'neverthrow';
import { ViewSchema, type View } from '../gen/magnoliakeel/v1/peer_pb';

/**
 * Parses a stored view (protobuf JSON); the error describes why it is invalid. Unknown fields are
 * ignored, so that adjacent software versions can run side by side.
 */
export default function parseView(value: string): Result<View, string> {
  return Result.fromThrowable(
    () => fromJsonString(ViewSchema, value, { ignoreUnknownFields: true }),
    String,
  )();
}
