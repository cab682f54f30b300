import { create } from '@bufbuild/protobuf';
import SystemTimer from '../../src/core/SystemTimer';
import {
  PulseSchema,
  Role,
  RoomSchema,
  RunOutcome,
  RunsEndedSchema,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import ConnectNetwork from '../../src/link/ConnectNetwork';
import type Link from '../../src/link/Link';
import pulseTimings from '../../src/peering/pulseTimings';
import NetworkCase from './NetworkCase';
import valueOf from './valueOf';

/** A sidecar of the service "s" over TCP. Its backend server runs what is requested until the test finishes it. */
export default class FakeSidecar {
  /** Numbers of the active runs. */
  readonly running: number[] = [];

  private readonly pulseTimer;

  private constructor(
    private readonly link: Link,
    private readonly network: ConnectNetwork,
  ) {
    const amount = { cpuMilli: 8_000, memoryMb: 8_000 };
    const value = create(RoomSchema, {
      ...{ backend: 'b', service: 's', accepting: true, total: amount, free: amount },
    });
    link.send({ case: 'room', value });
    const pulse = create(PulseSchema);
    this.pulseTimer = SystemTimer.create().every(pulseTimings.intervalMs, () =>
      link.send({ case: 'pulse', value: pulse }),
    );
    this.read();
  }

  /** Opens a link to an entry. */
  static async linkTo(address: string): Promise<FakeSidecar> {
    const network = ConnectNetwork.create(SystemTimer.create());
    const hello = NetworkCase.hello('s1', { cluster: 'c', role: Role.SIDECAR, services: ['s'] });
    return new FakeSidecar(valueOf(await network.dial(address, hello)), network);
  }

  /** Reports all active runs as done. */
  finish(): void {
    const ends = this.running.splice(0).map((number) => ({ number, outcome: RunOutcome.DONE }));
    this.link.send({ case: 'runsEnded', value: create(RunsEndedSchema, { ends }) });
  }

  /** Closes the link. */
  close(): void {
    this.pulseTimer.cancel();
    this.link.close();
    this.network.close();
  }

  private async read(): Promise<void> {
    for await (const message of this.link.messages()) {
      if (message.case === 'startRuns') {
        this.running.push(...message.value.runs.map(({ number }) => number));
      }
    }
  }
}
