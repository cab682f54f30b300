import { create } from '@bufbuild/protobuf';
import { type Amount, AmountSchema } from '../gen/magnoliakeel/v1/peer_pb';
import type Resources from './Resources';

/** Converts resources to the message that is sent between processes. */
export default function toAmount({ cpuMilli, memoryMb, accelerators }: Resources): Amount {
  return create(AmountSchema, { cpuMilli, memoryMb, accelerators });
}
