import type Checker from './Checker';
import type Fault from './Fault';
import type World from './World';

type Action = (world: World, fault: Fault, checker: Checker) => (() => void) | undefined;

/** Applies a fault; the function returned ends it, unless it ends by itself. */
export default function applyFault(world: World, fault: Fault, checker: Checker): () => void {
  world.logLine(`fault: ${JSON.stringify(fault)}`);
  const end = actions[fault.kind](world, fault, checker);
  return () => {
    world.logLine(`fault ends: ${fault.kind} ${fault.target}`);
    end?.();
  };
}

/** Applies a fault of each kind. */
const actions: Readonly<Record<Fault['kind'], Action>> = {
  silence: (world, fault) => {
    const { sides, alsoNew, endsByReset } = fault;
    const rule = { sides, alsoNew, from: diallerIp(world, fault) };
    const proxy = world.peerProxies.get(fault.target)!;
    proxy.freeze(rule);
    return () => (endsByReset ? proxy.reset(rule) : proxy.thaw(rule));
  },
  cut: (world, fault) => {
    const rule = { from: diallerIp(world, fault) };
    const proxy = world.peerProxies.get(fault.target)!;
    proxy.cut(rule);
    return () => proxy.mend(rule);
  },
  reset: (world, fault) => {
    const rule = { from: diallerIp(world, fault) };
    const proxy = world.peerProxies.get(fault.target)!;
    proxy.freeze(rule);
    proxy.reset(rule);
    return undefined;
  },
  delay: (world, { target, ms = 0 }) => {
    const proxy = world.peerProxies.get(target)!;
    proxy.delayMs += ms;
    return () => {
      proxy.delayMs -= ms;
    };
  },
  pause: (world, { target }, checker) => {
    checker.processDisturbed(target, 'hard');
    world.processes.signal(target, 'SIGSTOP');
    return () => {
      world.processes.signal(target, 'SIGCONT');
      checker.processRecovered(target);
    };
  },
  kill: (world, { target, forMs }) => {
    world.stopProcess(target, 'SIGKILL', forMs);
    return undefined;
  },
  stop: (world, { target, forMs }) => {
    world.stopProcess(target, 'SIGTERM', forMs);
    return undefined;
  },
  reload: (world, { target }) => {
    world.processes.signal(target, 'SIGHUP');
    return undefined;
  },
  'hang-up': (world, { target }) => {
    const connections = [...world.connections].filter(({ entry }) => entry === target);
    connections.forEach((connection) => connection.reset());
    return undefined;
  },
  crash: (world, { target, forMs }) => {
    world.backends.get(target)!.crash(forMs);
    return undefined;
  },
  restart: (world, { target, forMs }) => {
    world.backends.get(target)!.restart(forMs);
    return undefined;
  },
  flood: (world) => {
    world.activeFloods += 1;
    return () => {
      world.activeFloods -= 1;
    };
  },
  'store-down': (world) => world.addStoreFaults({ down: true }),
  'store-slow': (world, { ms = 800 }) => world.addStoreFaults({ slowMs: ms }),
  'store-loses-answers': (world) => world.addStoreFaults({ answerLost: true }),
  'store-cut': (world, { target }) => {
    const rule = {};
    const proxy = world.storeProxies.get(target)!;
    proxy.cut(rule);
    return () => proxy.mend(rule);
  },
};

function diallerIp(world: World, { from }: Fault): string | undefined {
  return from === undefined ? undefined : world.ipOf(from);
}
