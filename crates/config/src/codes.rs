//! The codes of findings, with the explanations that `config explain` prints.

macro_rules! codes {
    ($($name:ident $number:literal $title:literal $text:literal,)*) => {
        /// The kinds of errors in a configuration. A code's number never changes its meaning.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Code {
            $(#[doc = $title] $name,)*
        }

        impl Code {
            /// All codes, in the order of their numbers.
            pub const ALL: &[Code] = &[$(Code::$name,)*];

            /// The code as it is printed, such as `MT001`.
            pub fn text(self) -> &'static str {
                match self { $(Code::$name => concat!("MT", $number),)* }
            }

            /// A short description of the error.
            pub fn title(self) -> &'static str {
                match self { $(Code::$name => $title,)* }
            }

            /// Why the configuration is wrong and how to correct it.
            pub fn explain(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }
        }
    };
}

codes! {
    Unreadable "001" "the file can't be read" "The file is missing, can't be opened, or is larger than 16 MiB. Check its name and who may read it.",
    NotUtf8 "002" "the file is not UTF-8 text" "Configuration is UTF-8 text. The position of the first byte that is not is told. Save the file as UTF-8.",
    Syntax "003" "the text is not TOML" "The text breaks a rule of TOML (https://toml.io). Names on the left of '=', values on the right; texts stand in quotes.",
    Duplicate "004" "a name is given twice" "Each setting and table may be given once in a file. Nobody can tell which of the two was meant: keep one.",
    UnknownName "005" "there is no such setting" "The name is not one of the settings, so it would have no effect. Check its spelling and the table that it stands in.",
    WrongType "006" "the value is of another type" "The setting wants a value of another type, such as a text in quotes, a whole number, or true or false.",
    MissingUnit "007" "the unit is missing" "Times and sizes have units, so that 5 can't be taken for milliseconds by one and for seconds by another: \"5s\", \"64KiB\".",
    UnknownUnit "008" "there is no such unit" "Times: us, ms, s, m, h, d. Sizes: B, KB, MB, GB (powers of 1000), KiB, MiB, GiB (powers of 1024).",
    NotANumber "009" "the number can't be read" "A time or size is a number and a unit, such as \"1.5s\". It has no sign and no exponent.",
    TooLarge "010" "the value is too large" "The value lies above what the setting may be.",
    TooSmall "011" "the value is too small" "The value lies below what the setting may be.",
    InvalidChoice "012" "the word is none of those allowed" "The setting is one of a few words.",
    InvalidName "013" "the name has characters that it may not have" "Names of applications, classes and destinations consist of letters, digits, '-', '_' and '.'; they stand in paths and headers.",
    InvalidAddress "014" "the address can't be read" "An address is a host or IP address with a port: \"127.0.0.1:7001\", \"[::1]:7001\", \"billing.example.org:443\".",
    MissingSetting "015" "a setting is missing" "The sidecar can't start without this setting.",
    EmptyValue "016" "the value is empty" "An empty text or list means nothing here. Give a value, or leave the setting out.",
    NoClass "020" "there is no class" "Messages belong to classes; without one nothing can be handed in. Add a table [class.NAME].",
    NoDestination "021" "there is no destination" "Messages go to destinations. Add a table [destination.NAME], or name a file of endpoints.",
    NoEndpoint "022" "a destination has no endpoint" "Nothing could ever be delivered there. Give it endpoints, or name a file of endpoints that has some.",
    DuplicateDestinationId "023" "two destinations have one number" "Messages name their destination by its number, so each has its own.",
    DuplicateEndpoint "024" "two destinations have one endpoint" "An endpoint belongs to one destination: limits, waits and health are kept by destination.",
    UnknownClass "025" "a destination names a class that is not there" "The class must be one of the tables [class.NAME].",
    ObjectiveAfterDeadline "030" "the aim lies past the deadline" "A message is given up at its deadline, so it can't be wanted later than that.",
    DeadlineAfterZeroValue "031" "the deadline lies past the message's worth" "The message would still be sent when it is worth nothing, at the cost of those that are. Shorten the deadline to worthless_after.",
    MissingWindow "032" "a keyed class has no window" "A keyed class may be repeated only inside the window in which destinations drop repeats. Give the window that they told.",
    UnusedWindow "033" "a class that is not keyed has a window" "Only keyed classes have a window. Remove it, or make the class keyed if its messages carry keys.",
    HedgingUnsafeClasses "034" "copies of a class that must never run twice" "With retry.copies = true and unsafe classes only, no copy could ever be sent. Set copies = false; it has no effect on unsafe messages.",
    DeadlineExceedsWindow "035" "retries outlast the window" "What may have run goes out again only inside its window; a deadline behind that adds time in which nothing may be done and the application hears nothing. Shorten the deadline, or lengthen the window if destinations remember keys for longer.",
    TooManyAttempts "036" "more attempts than can ever start" "Between two attempts lie at least the usual time of a call and a rest that doubles; so many can't start before the deadline. Fewer attempts, or a longer deadline.",
    UnusedLateValue "037" "late worth without time to be late" "late_worth is what is left at the deadline; with the aim at the deadline there is no such time. Remove late_worth, or set the aim earlier.",
    WindowExceedsDestination "038" "a destination forgets keys before the class expects it" "The class's window is longer than the time for which this destination drops repeats, so a repeat could take effect twice there. Give the class the shortest window of its destinations.",
    LimitTooLow "040" "a limit can't carry the stated load" "Together, the shares of the destinations' limits are below load.rate: messages would pile up and end refused. Ask for higher limits, or state the real load.",
    TooFewCalls "041" "too few calls at once for the stated load" "By Little's law load.rate times load.call calls are out at once; limits.calls is below that.",
    PendingLimitTooLow "042" "too few held messages for the calls" "Each call holds a message; fewer held than calls leaves calls unused.",
    DescriptorBudgetExceeded "043" "descriptors don't add up" "Calls, idle connections, the application's own connections, files and the rest need more descriptors than limits.sockets. The budget is told.",
    MemoryBudgetExceeded "044" "memory does not add up" "The messages held, with their bodies and buffers, may need more than limits.memory. The budget is told.",
    DiskBudgetExceeded "045" "disk does not add up" "The journal of what is held, the outcomes and the store of undelivered messages need more than limits.disk. The budget is told.",
    ConnectTimeoutTooLong "046" "a connection is dialled for longer than a message may wait" "connections.dial is not below the shortest deadline: one dead address would eat a message's whole time.",
    UnusedRedriveRule "047" "a rule for resends, and nothing is kept" "A table [resend.NAME] orders what is in the store of undelivered messages to be sent again; without undelivered.keep = true there is no store. Set it, or remove the rule.",
    UnknownDestination "048" "a rule names a destination that the file does not have" "resend.*.destination is the number of a destination. Correct it, or name a file of endpoints that has it.",
    StateFolderNotWritable "050" "the state folder can't be written" "The sidecar keeps there what it has promised. Make the folder, or let the sidecar's user write to it.",
    StateFolderTemporary "051" "the state folder is on a temporary file system" "What was promised would be lost with the machine's next start. Use a folder on a disk.",
    StateFolderNotOwned "052" "the state folder belongs to another program" "It holds files that are not the sidecar's. Use a folder of its own.",
    StateFolderLocked "053" "another process uses the state folder" "Two senders on one folder would answer for each other's messages. Stop the other one, or use another folder.",
    PortTaken "054" "the port is taken" "Another program listens there. Stop it, or use another port.",
    InvalidEndpointsFile "055" "the file of endpoints can't be used" "It must be there at the start and have the form of a list of endpoints. Later, a broken one changes nothing.",
    PortConflict "060" "two applications claim one port" "Also through 0.0.0.0 and [::], which stand for all addresses of the machine, and through names. Give each its own port.",
    SharedStateFolder "061" "two applications share a state folder" "Also by another path or a link. Each needs its own: the journal has one writer.",
    DuplicateName "062" "two applications have one name" "Names tell logs and figures apart.",
    SharesExceedLimit "063" "shares of a destination's limit add up to more than it" "Each sidecar keeps to its own share; together they would go over the limit and be refused.",
    WindowsDiffer "064" "applications were told different windows for one destination" "A destination has one window. Ask its owner; until then use the shortest.",
    EndpointsDiffer "065" "applications give one destination different endpoints" "One of the files is out of date. A destination's endpoints are the same for all.",
    EffectsDiffer "066" "applications give one class different effects" "What a repeat of a class does is a matter of its destinations, and the same for all.",
    MachineMemoryExceeded "067" "together more memory than the machine has" "The sum of limits.memory is above machine.memory.",
    MachineDescriptorsExceeded "068" "together more descriptors than the machine has" "The sum of limits.sockets is above machine.sockets.",
    MachineCoresExceeded "069" "together more cores than the machine has" "The sum of limits.cores is above machine.cores.",
    LimitsDiffer "070" "applications were told different limits for one destination" "A destination has one limit. Ask its owner; until then use the lowest.",
    MachineDiffers "071" "files state different machines" "The files are checked as neighbours on one machine, and say different things of it.",
    DuplicateCoordinator "080" "two stewards have one address" "A relay asks the next steward when one does not answer; the same address twice is asked twice in vain. Each steward has an address of its own.",
    InvalidCoordinatorCount "081" "no group of stewards has so many" "Groups have 1, 3, 5 or 7 stewards. Name all of the group, so that the relay finds whoever leads.",
    ProxyIsCoordinator "082" "the relay listens where a steward does" "Members would ask the relay, and the relay itself. Give the relay a port of its own.",
    DescriptorLimitTooLow "083" "more places than the process may have descriptors" "Each member's connection is a descriptor. Raise the hard limit of open files (ulimit -Hn) for this process, or lower places.",
}
