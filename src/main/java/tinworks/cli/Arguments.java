package tinworks.cli;

import java.net.InetSocketAddress;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.TypeConversionException;
import tinworks.demo.Fault;
import tinworks.json.Address;

/** Checks of arguments that several commands share; what is wrong ends a command with its usage. */
final class Arguments {
    private Arguments() {}

    /** Refuses a number that doesn't lie within bounds, both of them allowed. */
    static void within(CommandSpec spec, String option, double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            throw new ParameterException(
                    spec.commandLine(),
                    option + ": wanted a number from " + plain(least) + " to " + plain(most) + ", not " + plain(value));
        }
    }

    private static String plain(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    /** Reads an address. */
    static final class AddressConverter implements ITypeConverter<InetSocketAddress> {
        @Override
        public InetSocketAddress convert(String text) {
            try {
                return Address.resolve(text);
            } catch (IllegalArgumentException e) {
                throw new TypeConversionException(e.getMessage());
            }
        }
    }

    /** Reads a fault. */
    static final class FaultConverter implements ITypeConverter<Fault> {
        @Override
        public Fault convert(String text) {
            try {
                return Fault.of(text);
            } catch (IllegalArgumentException e) {
                throw new TypeConversionException(e.getMessage());
            }
        }
    }
}
