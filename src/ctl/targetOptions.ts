import type CommandOption from './CommandOption';

/** Options that give the addresses of the system. */
const targetOptions: Readonly<Record<'store' | 'entry' | 'targets', CommandOption>> = {
  store: {
    flags: '--store <address>',
    description: "Address of the platform's key-value service; else MAGNOLIAKEEL_STORE",
  },
  entry: {
    flags: '--entry <addresses>',
    description: "Operators' addresses of entries, separated by commas; else MAGNOLIAKEEL_ENTRY",
  },
  targets: {
    flags: '--targets <file>',
    description: 'YAML file with the keys store and entries, for what the options leave out',
  },
};

export default targetOptions;
